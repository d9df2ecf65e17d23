package io.mulberrylift.gateway.loop;

import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.forwarding.ColdStart;
import io.mulberrylift.core.forwarding.GatewayTerms;
import io.mulberrylift.core.forwarding.RefusalCause;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests of whole fleets in virtual time to cold endpoints, counted over all instances.
 * The loads would break the bound if each instance decided by itself.
 */
class FleetColdEndpointTests {

	private static final double PER_SECOND = 15;

	/** Rate of 15 times 1.5, plus 5. */
	private static final double BOUND = 27.5;

	/** Share of the rate that is to be used while work waits. */
	private static final double MIN_USED_SHARE = 0.8;

	private static final GatewayTerms TERMS = new GatewayTerms(Optional.of(new GatewayTerms.ColdBounds(1.5, 5)),
			Optional.of(5000L), Map.of());

	/** Time after which all instances know each other. */
	private static final long START_MILLIS = 20_000;

	/** Time from the end of a runner until instances know its successor. */
	private static final long LISTED_MILLIS = 2000;

	/**
	 * Time from the last request that is sent while an endpoint is cold to its arrival.
	 */
	private static final long ARRIVAL_MILLIS = 5;

	private static SimulatedFleet fleet(int instances, int runners, double requestsPerSecond, long coldMillis,
			long seed) {
		SimulatedFleet fleet = new SimulatedFleet(instances, 3, runners, requestsPerSecond, seed, TERMS,
				Optional.of(new ColdStart(coldMillis, PER_SECOND)));
		fleet.run(START_MILLIS);
		return fleet;
	}

	/**
	 * Load: 300 requests per second to a service whose only endpoint has just started.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 9, 75 })
	void startedEndpointGetsAtMostTheBoundInAnySecondAndUsesItsRate(int instances) {
		for (long coldMillis : new long[] { 3000, 12_000 }) {
			SimulatedFleet fleet = fleet(instances, 1, Math.max(300, 10 * instances), coldMillis, 3);
			fleet.endRunners(1);
			fleet.run(LISTED_MILLIS);
			long listed = fleet.nowMillis();
			fleet.run(coldMillis);
			SimulatedRunner runner = fleet.runners.get(0);
			assertThat(runner.maxInOneSecond(0, listed + coldMillis + ARRIVAL_MILLIS))
				.isLessThanOrEqualTo((long) BOUND);
			assertThat((double) runner.arrivedBetween(listed, listed + coldMillis))
				.isGreaterThanOrEqualTo(MIN_USED_SHARE * PER_SECOND * coldMillis / 1000);
			long warm = fleet.nowMillis();
			fleet.run(2000);
			assertThat(runner.arrivedSince(warm)).isGreaterThan((long) (2 * 2 * PER_SECOND));
		}
	}

	/** Failure: an instance starts while an endpoint is cold, and knows no peer yet. */
	@ParameterizedTest
	@ValueSource(ints = { 9, 75 })
	void boundIsKeptWhileInstancesStartInTheMiddle(int instances) {
		long coldMillis = 15_000;
		SimulatedFleet fleet = fleet(instances, 1, Math.max(300, 10 * instances), coldMillis, 5);
		fleet.endRunners(1);
		fleet.run(LISTED_MILLIS);
		long listed = fleet.nowMillis();
		for (int index = 0; index < 3; index++) {
			fleet.stopInstance(index);
			fleet.run(1000);
			fleet.startInstance(index);
			fleet.run(3000);
		}
		fleet.run(listed + coldMillis - fleet.nowMillis());
		assertThat(fleet.runners.get(0).maxInOneSecond(0, listed + coldMillis)).isLessThanOrEqualTo((long) BOUND);
	}

	/**
	 * Load: a third of the endpoints is taken back from an evacuation, idle and cold,
	 * under 60 requests per second for each endpoint.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 9, 75 })
	void endpointsOfAZoneThatReturnsGetAtMostTheBoundInAnySecond(int instances) {
		long coldMillis = 3000;
		SimulatedFleet fleet = fleet(instances, 6, 360, coldMillis, 6);
		fleet.readEvacuations(0, 7, "zone-1");
		fleet.run(5000);
		long ended = fleet.nowMillis();
		fleet.readEvacuations(0, 8);
		fleet.run(coldMillis);
		assertThat(fleet.runners.stream().filter((runner) -> runner.endpoint.zone().equals("zone-1"))).hasSize(2)
			.allMatch((runner) -> runner.maxInOneSecond(ended, ended + coldMillis) <= BOUND)
			.allMatch((runner) -> runner.arrivedSince(ended) > 0);
		fleet.run(8000);
		long warm = fleet.nowMillis();
		fleet.run(2000);
		assertThat(fleet.runners).allMatch((runner) -> runner.arrivedSince(warm) > 2 * BOUND);
	}

	/**
	 * Load: an endpoint becomes cold again under 20 requests per second, of which
	 * instances learn over a second.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 9, 75 })
	void endpointThatBecomesColdAgainKeepsTheBoundWhileInstancesLearnOfIt(int instances) {
		SimulatedFleet fleet = fleet(instances, 6, 120, 3000, 7);
		long before = fleet.nowMillis();
		fleet.chill(2, 1000);
		fleet.run(3000);
		assertThat(fleet.runners.get(2).maxInOneSecond(before, before + 3000)).isLessThanOrEqualTo((long) BOUND);
	}

	/**
	 * Failure: endpoints that run since before a deployment starts would be throttled
	 * without reason.
	 */
	@Test
	void deploymentThatStartsWithWarmEndpointsUsesThemAtOnce() {
		SimulatedFleet fleet = new SimulatedFleet(9, 3, 3, 300, 8, TERMS, Optional.of(new ColdStart(3000, PER_SECOND)));
		fleet.run(3000);
		assertThat(fleet.refused).isEmpty();
		assertThat(fleet.runners).allMatch((runner) -> runner.arrivedSince(0) > 3 * BOUND);
	}

	@Test
	void requestsThatFindNoRoomAreRefusedAtOnceWithATimeToReturn() {
		SimulatedFleet fleet = fleet(9, 1, 300, 3000, 9);
		fleet.endRunners(1);
		fleet.run(LISTED_MILLIS);
		fleet.refused.clear();
		fleet.run(2000);
		assertThat(fleet.refused).isNotEmpty()
			.allMatch((refuse) -> refuse.cause() == RefusalCause.ENDPOINTS_LIMITED)
			.allMatch((refuse) -> refuse.retryAfterMillis().orElseThrow() >= 100);
	}

}
