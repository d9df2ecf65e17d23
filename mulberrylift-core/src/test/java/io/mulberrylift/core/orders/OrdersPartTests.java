package io.mulberrylift.core.orders;

import java.util.List;
import java.util.Set;

import io.mulberrylift.core.FleetFixture;
import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.core.model.LoadReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OrdersPart}.
 */
class OrdersPartTests {

	private static final EndpointId ENGINE = new EndpointId("engine-1");

	private static final long PACE_MILLIS = 2_000;

	private final FleetFixture fixture = new FleetFixture(FleetFixture.engine("engine-1", 400_000));

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
	void driftOnAnEngineThatChecksNothingIsOrderedAgain() {
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

	private void report(Set<String> loaded) {
		this.fixture.send(new EndpointEvent.LoadReported(this.fixture.now(),
				new LoadReport(ENGINE, 1, 0, 0, 0, 0, false, loaded, 0)));
	}

	private List<EngineOrder> orders() {
		this.fixture.pass(PACE_MILLIS);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		return this.fixture.take(EndpointEffect.SendOrder.class).stream().map(EndpointEffect.SendOrder::order).toList();
	}

}
