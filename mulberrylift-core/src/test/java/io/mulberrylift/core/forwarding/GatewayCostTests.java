package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.gossip.CostFigure;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GatewayCostTests {

	private final GatewayFixture fixture = new GatewayFixture().started();

	private void switchOn() {
		GatewayTerms terms = new GatewayTerms(Optional.empty(), Optional.empty(), Map.of(), true);
		this.fixture.reduce(new GatewayEvent.LimitsRead(
				new GatewayIdentity("instance-1", "zone-a", new RetryBounds(0.2, 10_000, 100), 2600, 4000, terms)));
	}

	private long answer(long millis) {
		this.fixture.arrive("/read/x", 0);
		GatewayEffect.Send send = this.fixture.last(GatewayEffect.Send.class);
		this.fixture.advance(millis);
		this.fixture.end(send.attemptId(), AttemptOutcome.COMPLETED);
		return send.attemptId();
	}

	@Test
	void requestsOfPlainServicesAreSentWithWhatIsExpectedAndWhatItRestsOn() {
		switchOn();
		for (int count = 0; count < 10; count++) {
			answer(40);
		}
		this.fixture.advance(500);
		this.fixture.arrive("/read/x", 0);
		Map<String, Object> sent = this.fixture.logged("sent");
		assertThat((Long) sent.get("expected-millis")).isBetween(36L, 44L);
		assertThat(sent).containsEntry("observations", 10L).containsEntry("observation-age-millis", 500L);
		List<CostFigure> told = this.fixture.gateway.fleetFigures(this.fixture.nowMillis).costs();
		assertThat(told).isNotEmpty().hasSizeLessThanOrEqualTo(8);
		assertThat(this.fixture.gateway.costs().size()).isPositive();
	}

	@Test
	void endpointThatLetsRequestsExpireGetsFewer() {
		switchOn();
		for (int count = 0; count < 12; count++) {
			answer(40);
		}
		this.fixture.arrive("/post/x", 0);
		String slow = this.fixture.last(GatewayEffect.Send.class).endpoint().id().value();
		for (int count = 0; count < 40; count++) {
			this.fixture.arrive("/post/x", 0);
			GatewayEffect.Send send = this.fixture.last(GatewayEffect.Send.class);
			if (!send.endpoint().id().value().equals(slow)) {
				this.fixture.advance(40);
				this.fixture.end(send.attemptId(), AttemptOutcome.COMPLETED);
			}
		}
		this.fixture.advance(1000);
		int sends = this.fixture.all(GatewayEffect.Send.class).size();
		for (int count = 0; count < 20; count++) {
			answer(40);
		}
		assertThat(this.fixture.all(GatewayEffect.Send.class)
			.subList(sends, sends + 20)
			.stream()
			.filter((send) -> send.endpoint().id().value().equals(slow))
			.count()).isLessThan(5);
	}

	@Test
	void nothingIsToldWhileItIsSwitchedOff() {
		for (int count = 0; count < 10; count++) {
			answer(40);
		}
		assertThat(this.fixture.gateway.fleetFigures(this.fixture.nowMillis).costs()).isEmpty();
		assertThat(this.fixture.logged("sent")).containsEntry("expected-millis", -1L);
	}

}
