package io.mulberrylift.core.orders;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.mulberrylift.core.FleetFixture;
import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.OrderSettings;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.core.model.LoadReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OrdersPart}.
 */
class OrdersPartTests {

	private static final EndpointId ENGINE = new EndpointId("engine-1");

	private static final long SHORT_SLOT_MILLIS = 2_100;

	private static final long LONG_SLOT_MILLIS = 61_500;

	private final FleetFixture fixture = new FleetFixture(FleetFixture.engine("engine-1", 400_000));

	@BeforeEach
	void startTicks() {
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		this.fixture.advanceTime(SHORT_SLOT_MILLIS);
	}

	@Test
	void missingModelIsOrderedWithTheConfigurationVersionAsFencingNumber() {
		report(Set.of());
		assertThat(orders()).containsExactly(new EngineOrder(EngineOrder.Kind.LOAD_MODEL, "outlook", "1", 1));
	}

	@Test
	void loadedModelIsNotOrdered() {
		report(Set.of("outlook@1"));
		assertThat(orders()).isEmpty();
	}

	@Test
	void orderIsNotRepeatedWhileItIsUnanswered() {
		report(Set.of());
		assertThat(orders()).hasSize(1);
		assertThat(orders()).isEmpty();
	}

	@Test
	void driftOnAnEngineWithoutFencingIsOrderedAgain() {
		report(Set.of());
		EngineOrder order = orders().get(0);
		this.fixture.send(new EndpointEvent.OrderAnswered(this.fixture.now(), ENGINE, order, true, 0));
		report(Set.of("outlook@0"));
		assertThat(orders()).containsExactly(order);
	}

	@Test
	void instanceWithAnOldConfigurationStopsOrderingOnceAnEngineKnowsANewerOne() {
		report(Set.of());
		EngineOrder order = orders().get(0);
		this.fixture.send(new EndpointEvent.OrderAnswered(this.fixture.now(), ENGINE, order, false, 2));
		assertThat(orders()).isEmpty();
		this.fixture.send(new PlatformEvent.ConfigurationRead(this.fixture.now(),
				new ConfigurationCheck.Accepted(new PublishedDocument(2, "{}"), FleetFixture.configuration())));
		assertThat(orders()).extracting(EngineOrder::fencingNumber).containsExactly(2L);
	}

	@Test
	void roleThatDiffersIsOrdered() {
		configureRole("decode");
		report(Set.of("outlook@1"), "mixed", 1);
		assertThat(orders()).containsExactly(new EngineOrder(EngineOrder.Kind.CHANGE_ROLE, "decode", "", 2));
	}

	@Test
	void roleThatMatchesOrIsNotConfiguredIsNotOrdered() {
		report(Set.of("outlook@1"), "mixed", 1);
		assertThat(orders()).isEmpty();
		configureRole("decode");
		report(Set.of("outlook@1"), "decode", 1);
		assertThat(orders()).isEmpty();
	}

	@Test
	void driftedRoleIsOrderedAgain() {
		configureRole("decode");
		report(Set.of("outlook@1"), "mixed", 1);
		answerExecuted(orders().get(0));
		report(Set.of("outlook@1"), "mixed", 1);
		assertThat(orders()).hasSize(1);
	}

	@Test
	void reportThatIsOlderThanTheAnswerGivesNoOrder() {
		configureRole("decode");
		report(Set.of(), "mixed", 1);
		answerExecuted(orders().get(0));
		assertThat(orders()).isEmpty();
		report(Set.of(), "decode", 1);
		assertThat(orders()).extracting(EngineOrder::kind).containsExactly(EngineOrder.Kind.LOAD_MODEL);
	}

	@Test
	void engineThatReportsNoRoleIsOrderedOncePerProcess() {
		configureRole("decode");
		report(Set.of("outlook@1"), "", 1);
		answerExecuted(orders().get(0));
		report(Set.of("outlook@1"), "", 1);
		assertThat(orders()).isEmpty();
		report(Set.of("outlook@1"), "", 2);
		assertThat(orders()).hasSize(1);
	}

	@Test
	void roleOrdersAreNotRateLimited() {
		configureOrders(new OrderSettings(1, Map.of(ENGINE.value(), "decode")));
		report(Set.of(), "mixed", 1);
		EngineOrder order = orders().get(0);
		assertThat(order.kind()).isEqualTo(EngineOrder.Kind.CHANGE_ROLE);
		answerExecuted(order);
		report(Set.of(), "decode", 1);
		assertThat(orders()).isEmpty();
		this.fixture.advanceTime(LONG_SLOT_MILLIS);
		report(Set.of(), "decode", 1);
		assertThat(orders()).extracting(EngineOrder::kind).containsExactly(EngineOrder.Kind.LOAD_MODEL);
	}

	private void configureRole(String role) {
		configureOrders(new OrderSettings(0, Map.of(ENGINE.value(), role)));
	}

	private void configureOrders(OrderSettings settings) {
		this.fixture.send(new PlatformEvent.ConfigurationRead(this.fixture.now(),
				new ConfigurationCheck.Accepted(new PublishedDocument(2, "{}"), FleetFixture.configuration(settings))));
	}

	private void answerExecuted(EngineOrder order) {
		this.fixture.send(new EndpointEvent.OrderAnswered(this.fixture.now(), ENGINE, order, true, 0));
	}

	private void report(Set<String> loaded) {
		report(loaded, "", 1);
	}

	private void report(Set<String> loaded, String role, long incarnation) {
		this.fixture.send(new EndpointEvent.LoadReported(this.fixture.now(),
				new LoadReport(ENGINE, incarnation, 0, 0, 0, 0, false, loaded, role, 0)));
	}

	private List<EngineOrder> orders() {
		this.fixture.advanceTime(SHORT_SLOT_MILLIS);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		return this.fixture.takeEffects(EndpointEffect.SendOrder.class)
			.stream()
			.map(EndpointEffect.SendOrder::order)
			.toList();
	}

}
