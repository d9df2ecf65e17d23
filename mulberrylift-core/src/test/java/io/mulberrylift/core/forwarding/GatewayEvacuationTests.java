package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import io.mulberrylift.core.gossip.EvacuationKnowledge;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests of one instance around the evacuation of a zone.
 */
class GatewayEvacuationTests {

	private static final GatewayTerms TERMS = new GatewayTerms(Optional.empty(), Optional.of(5000L), Map.of());

	private final GatewayFixture fixture = fixture(TERMS);

	private static GatewayFixture fixture(GatewayTerms terms) {
		GatewayFixture fixture = new GatewayFixture();
		fixture.reduce(new GatewayEvent.LimitsRead(
				new GatewayIdentity("instance-1", "zone-a", new RetryBounds(0.2, 10_000, 100), 2600, 4000, terms)));
		fixture.reduce(
				new GatewayEvent.ConfigurationRead(GatewayFixture.configuration(1, GatewayFixture.defaultRoutes())));
		fixture.reduce(new GatewayEvent.EndpointsRead(
				List.of(endpoint("e1", "engines", "zone-a"), endpoint("e2", "engines", "zone-b"),
						endpoint("p1", "plain", "zone-a"), endpoint("p2", "plain", "zone-b"))));
		return fixture;
	}

	private static ForwardEndpoint endpoint(String id, String service, String zone) {
		return new ForwardEndpoint(new EndpointId(id), service, "10.0.0.1", 1024 + Math.floorMod(id.hashCode(), 40_000),
				zone, 11, false, 0);
	}

	private void evacuate(long revision, String... zones) {
		this.fixture.reduce(new GatewayEvent.EvacuationsRead(
				new EvacuationKnowledge(new StoreRevision(0, revision), List.of(zones))));
	}

	private List<String> sends() {
		return this.fixture.all(GatewayEffect.Send.class).stream().map((send) -> send.endpoint().id().value()).toList();
	}

	@Test
	void newRequestsLeaveTheZoneAndThoseInProgressEndThere() {
		this.fixture.arrive("/read/x", 0);
		assertThat(sends()).containsExactly("p1");
		evacuate(5, "zone-a");
		for (int count = 0; count < 20; count++) {
			this.fixture.arrive("/read/x", 0);
		}
		assertThat(sends().subList(1, 21)).containsOnly("p2");
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class)).isEmpty();
		assertThat(this.fixture.logged("zone-evacuated")).containsEntry("requests", 1).containsEntry("source", "store");
		assertThat(this.fixture.logged("request-in-evacuated-zone")).containsEntry("request", 1L);
		assertThat(this.fixture.gateway.evacuatedZones()).isEqualTo(Map.of("zone-a", 1));
		this.fixture.end(this.fixture.all(GatewayEffect.Send.class).get(0).attemptId(), AttemptOutcome.COMPLETED);
		this.fixture.advance(100);
		assertThat(this.fixture.logged("zone-empty")).containsEntry("millis", 100L);
		evacuate(6);
		assertThat(this.fixture.logged("zone-evacuation-ended")).containsEntry("zone", "zone-a");
	}

	/** Failure: a retry goes to the zone from which the request was refused. */
	@Test
	void retriesLeaveTheZone() {
		this.fixture.arrive("/read/x", 0);
		evacuate(5, "zone-a", "zone-b");
		this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.REFUSED_FULL);
		assertThat(sends()).containsExactly("p1");
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).retryAfterMillis()).isPresent();
	}

	/** Failure: a stalled stream is moved into the evacuated zone. */
	@Test
	void stalledStreamIsNotMovedIntoTheZone() {
		this.fixture.arrive("/stream/x", 1000);
		GatewayEffect.Send send = this.fixture.last(GatewayEffect.Send.class);
		evacuate(5, (send.endpoint().zone().equals("zone-a")) ? "zone-b" : "zone-a");
		for (int count = 0; count < 400; count++) {
			this.fixture.advance(20);
		}
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(1);
	}

	/**
	 * Failure: memory that was granted right after the evacuation is used by a request
	 * that is sent then.
	 */
	@Test
	void requestThatWaitsForMemoryInTheZoneIsNotSentAndItsMemoryIsReleased() {
		this.fixture.reduce(new GatewayEvent.EndpointsRead(IntStream.range(0, 6)
			.mapToObj((index) -> endpoint("e" + index, "engines", (index < 3) ? "zone-a" : "zone-b"))
			.toList()));
		this.fixture.arrive("/long/x", 900_000);
		int reserved = this.fixture.all(GatewayEffect.ReserveMemory.class).size();
		assertThat(reserved).isGreaterThan(1);
		evacuate(5, "zone-a");
		this.fixture.grantReservations();
		assertThat(sends()).isEmpty();
		assertThat(this.fixture.all(GatewayEffect.ReleaseMemory.class)).hasSize(reserved);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.NOT_RUN);
	}

	/** Failure: a store that forgot the request of the operator answers again. */
	@Test
	void olderRevisionDoesNotEndAnEvacuation() {
		evacuate(5, "zone-a");
		evacuate(4);
		assertThat(this.fixture.gateway.evacuatedZones()).containsOnlyKeys("zone-a");
		assertThat(this.fixture.gateway.fleetFigures(this.fixture.nowMillis).evacuations())
			.contains(new EvacuationKnowledge(new StoreRevision(0, 5), List.of("zone-a")));
	}

	@Test
	void deploymentsThatStateNoBoundDoNotEvacuate() {
		GatewayFixture other = fixture(GatewayTerms.NONE);
		other.reduce(new GatewayEvent.EvacuationsRead(
				new EvacuationKnowledge(new StoreRevision(0, 5), List.of("zone-a", "zone-b"))));
		other.arrive("/read/x", 0);
		assertThat(other.all(GatewayEffect.Send.class)).hasSize(1);
		assertThat(other.gateway.fleetFigures(0).evacuations()).isEmpty();
	}

}
