package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.mulberrylift.core.gossip.ColdEndpoint;
import io.mulberrylift.core.gossip.EvacuationKnowledge;
import io.mulberrylift.core.gossip.FleetFigures;
import io.mulberrylift.core.gossip.FullState;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.limit.BackOffReport;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.limit.RequestLimitReport;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.WorkTable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What makes an endpoint cold for one instance, alone in its fleet.
 */
class GatewayColdEndpointTests {

	private static final long COLD_MILLIS = 3000;

	private static final GatewayTerms.ColdBounds BOUNDS = new GatewayTerms.ColdBounds(1.5, 5);

	private final GatewayFixture fixture = fixture(new GatewayTerms(Optional.of(BOUNDS), Optional.of(5000L), Map.of()));

	private static GatewayFixture fixture(GatewayTerms terms) {
		GatewayFixture fixture = new GatewayFixture();
		fixture.reduce(new GatewayEvent.LimitsRead(
				new GatewayIdentity("instance-1", "zone-a", new RetryBounds(0.2, 10_000, 100), 2600, 4000, terms)));
		Map<String, ForwardedService> services = Map.of("engines",
				new ForwardedService("engines", 100, Optional.of(GatewayFixture.MODEL),
						Optional.of(new ColdStart(COLD_MILLIS, 4))),
				"plain", new ForwardedService("plain", 100, Optional.empty()));
		fixture.reduce(new GatewayEvent.ConfigurationRead(
				new ForwardingConfiguration(1, new RouteTable(GatewayFixture.defaultRoutes()), services,
						Map.of("key-1", "workspace-1"), true, ClientLimits.DEFAULT)));
		fixture.reduce(new GatewayEvent.EndpointsRead(
				List.of(engine("e1", "zone-a", 0, 100), engine("e2", "zone-b", 0, 100))));
		return fixture;
	}

	private static ForwardEndpoint engine(String id, String zone, long warmUpLeftMillis, long startedEpochMillis) {
		return new ForwardEndpoint(new EndpointId(id), "engines", "10.0.0.1",
				1024 + Math.floorMod(id.hashCode(), 40_000), zone, 11, false, warmUpLeftMillis, startedEpochMillis);
	}

	private void list(ForwardEndpoint... endpoints) {
		this.fixture.reduce(new GatewayEvent.EndpointsRead(List.of(endpoints)));
	}

	private void answer(String endpoint, long attempt, long coldMillis) {
		this.fixture.reduce(new GatewayEvent.NoticesReceived(new EndpointId(endpoint), attempt, new EndpointNotices(
				RequestLimitReport.unlimited(), BackOffReport.none(), false, Optional.of(coldMillis))));
	}

	@Test
	void listedEndpointsAreWarmAtTheFirstReadingUnlessTheirEntriesSayCold() {
		assertThat(this.fixture.gateway.coldEndpoints()).isZero();
		list(engine("e1", "zone-a", 0, 100), engine("e2", "zone-b", 0, 100), engine("e3", "zone-b", 0, 100));
		assertThat(this.fixture.gateway.coldEndpoints()).isZero();
		list(engine("e1", "zone-a", 900, 100), engine("e2", "zone-b", 0, 100), engine("e3", "zone-b", 0, 100));
		assertThat(this.fixture.gateway.coldEndpoints()).isOne();
		assertThat(this.fixture.logged("endpoint-cold")).containsEntry("source", "entry").containsEntry("millis", 900L);
		this.fixture.advance(600);
		list(engine("e1", "zone-a", 900, 100), engine("e2", "zone-b", 0, 100));
		this.fixture.advance(300);
		assertThat(this.fixture.gateway.coldEndpoints()).as("an unchanged entry says nothing new").isZero();
	}

	/**
	 * Failure: an endpoint starts during traffic, under a new identity or its own, and
	 * its entry does not say that it is cold.
	 */
	@Test
	void endpointsThatStartDuringTrafficAreColdForTheTimeOfTheirService() {
		this.fixture.arrive("/stream/x", 1000);
		list(engine("e1", "zone-a", 0, 200), engine("e2", "zone-b", 0, 100), engine("e3", "zone-b", 0, 0));
		assertThat(this.fixture.gateway.coldEndpoints()).isEqualTo(2);
		this.fixture.advance(COLD_MILLIS - 1);
		assertThat(this.fixture.gateway.coldEndpoints()).isEqualTo(2);
		this.fixture.advance(1);
		assertThat(this.fixture.gateway.coldEndpoints()).isZero();
	}

	/** Failure: entries that expired during an outage of the store come back. */
	@Test
	void endpointThatIsListedAgainWithoutAStartIsNotCold() {
		this.fixture.arrive("/stream/x", 1000);
		list(engine("e2", "zone-b", 0, 100));
		list(engine("e1", "zone-a", 0, 100), engine("e2", "zone-b", 0, 100));
		assertThat(this.fixture.gateway.coldEndpoints()).isZero();
	}

	@Test
	void answerMakesAnEndpointColdAndOnlyALaterOneEndsThat() {
		this.fixture.arrive("/stream/x", 1000);
		GatewayEffect.Send send = this.fixture.last(GatewayEffect.Send.class);
		String endpoint = send.endpoint().id().value();
		this.fixture.advance(100);
		answer(endpoint, 0, 2000);
		assertThat(this.fixture.gateway.fleetFigures(this.fixture.nowMillis).coldEndpoints())
			.containsExactly(new ColdEndpoint(WorkTable.hash(new EndpointId(endpoint)), 2000));
		assertThat(this.fixture.all(GatewayEffect.PublishState.class)).isNotEmpty();
		answer(endpoint, send.attemptId(), 0);
		assertThat(this.fixture.gateway.coldEndpoints()).as("an answer that was overtaken").isOne();
		this.fixture.advance(1900);
		assertThat(this.fixture.gateway.coldEndpoints()).isOne();
		this.fixture.advance(100);
		assertThat(this.fixture.gateway.coldEndpoints()).isZero();
	}

	@Test
	void peerThatSaysColdIsBelievedButNotRepeated() {
		FullState state = new FullState("zone-b", 1, StoreRevision.NONE, Optional.empty(), true, List.of(), List.of(),
				List.of(), new FleetFigures(Optional.empty(),
						List.of(new ColdEndpoint(WorkTable.hash(new EndpointId("e2")), 1500)), List.of(), List.of()));
		this.fixture.reduce(new GatewayEvent.DigestReceived(
				new InstanceDigest("10.0.0.2:7", 1, 1, Map.of(), List.of(), List.of(), List.of(), Optional.of(state))));
		assertThat(this.fixture.gateway.coldEndpoints()).isOne();
		assertThat(this.fixture.gateway.fleetFigures(this.fixture.nowMillis).coldEndpoints()).isEmpty();
	}

	@Test
	void zoneThatReturnsFromAnEvacuationIsCold() {
		this.fixture.reduce(
				new GatewayEvent.EvacuationsRead(new EvacuationKnowledge(new StoreRevision(0, 5), List.of("zone-a"))));
		assertThat(this.fixture.gateway.coldEndpoints()).isZero();
		this.fixture
			.reduce(new GatewayEvent.EvacuationsRead(new EvacuationKnowledge(new StoreRevision(0, 6), List.of())));
		assertThat(this.fixture.gateway.coldEndpoints()).isOne();
		assertThat(this.fixture.logged("endpoint-cold")).containsEntry("endpoint", new EndpointId("e1"))
			.containsEntry("source", "zone-return");
	}

	/** Load: short and long prompts while one of two engines is cold. */
	@Test
	void longPromptsLeaveColdEnginesToShortAnswers() {
		answer("e1", 0, 60_000);
		this.fixture.advance(5000);
		for (int count = 0; count < 5; count++) {
			this.fixture.arrive("/long/x", 2000);
		}
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(5)
			.allMatch((send) -> send.endpoint().id().value().equals("e2") && send.helpers().isEmpty());
	}

	/** Load: twenty prompts per second to the only engine, which accepts four. */
	@Test
	void helpersRetriesAndReservationsCountAtAColdEngine() {
		list(engine("e1", "zone-a", 0, 100));
		answer("e1", 0, 60_000);
		for (int count = 0; count < 200; count++) {
			this.fixture.advance(50);
			this.fixture.arrive("/stream/x", 500);
		}
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSizeBetween(32, 42);
	}

	/** Failure: the bound leaves less than the rate and its shares need. */
	@Test
	void rateIsLowerWhereTheBoundOfOneSecondIsTight() {
		assertThat(ColdEndpoints.perSecond(new ColdStart(1000, 15), BOUNDS)).isEqualTo(15);
		for (double rate : new double[] { 0.5, 1, 2, 10 }) {
			GatewayTerms.ColdBounds tight = new GatewayTerms.ColdBounds(1, 0);
			double used = ColdEndpoints.perSecond(new ColdStart(1000, rate), tight);
			assertThat(used).isGreaterThan(0).isLessThanOrEqualTo(rate);
			assertThat(Math.min(4 * used, used + 2)).isLessThanOrEqualTo(Math.max(1, rate));
		}
	}

	@Test
	void deploymentsThatStateNoBoundsKnowNoColdEndpoints() {
		GatewayFixture other = fixture(GatewayTerms.NONE);
		other.arrive("/stream/x", 1000);
		other.reduce(new GatewayEvent.EndpointsRead(List.of(engine("e9", "zone-a", 3000, 0))));
		assertThat(other.gateway.coldEndpoints()).isZero();
		assertThat(other.gateway.fleetFigures(0)).isEqualTo(FleetFigures.NONE);
		assertThat(Set.copyOf(other.gateway.evacuatedZones().keySet())).isEmpty();
	}

}
