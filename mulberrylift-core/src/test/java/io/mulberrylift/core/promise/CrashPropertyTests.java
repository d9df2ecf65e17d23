package io.mulberrylift.core.promise;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.peer.SuspectNotice;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a request that crashes endpoints takes down at most two of them, however
 * often it is sent.
 */
class CrashPropertyTests {

	private static final int MAX_LOST_ENDPOINTS = 2;

	private static final String CRASHER = FleetHistory.REPEATABLE + "-crasher";

	private static final int SENDS = 12;

	private static final long TIMEOUT_MILLIS = 6_000;

	private static final int RUNS = 40;

	@Property(tries = 100, seed = "20261206")
	void sequentialSendsThroughAnyInstancesCrashTwoEndpoints(@ForAll @LongRange(max = 1_000_000) long seed) {
		VirtualFleet fleet = startedFleet(seed);
		fleet.caller().sendRepeatable(CRASHER, VirtualFleet.CRASHING_FINGERPRINT, TIMEOUT_MILLIS, SENDS);
		sendHarmlessRequests(fleet);
		fleet.time().runFor(60_000);
		assertThat(lostEndpoints(fleet)).isEqualTo(MAX_LOST_ENDPOINTS);
		assertThat(fleet.caller().finalReasons().get(CRASHER)).contains(RefusalReason.CRASHES_ENDPOINTS);
		assertThat(fleet.caller().finalReasons().get(FleetHistory.REPEATABLE + "-19")).isEqualTo(Optional.empty());
		assertThat(fleet.history().violations(fleet.time().nowMillis())).isEmpty();
	}

	@Property(tries = 60, seed = "20261207")
	void freshKeysForTheSameWorkCrashTwoEndpoints(@ForAll @LongRange(max = 1_000_000) long seed) {
		VirtualFleet fleet = startedFleet(seed);
		for (int i = 0; i < SENDS; i++) {
			String key = "crasher-" + i;
			fleet.time()
				.schedule(i * 1_000L,
						() -> fleet.caller().send(key, VirtualFleet.CRASHING_FINGERPRINT, TIMEOUT_MILLIS, 2));
		}
		fleet.time().runFor(60_000);
		assertThat(lostEndpoints(fleet)).isEqualTo(MAX_LOST_ENDPOINTS);
		assertThat(fleet.history().violations(fleet.time().nowMillis())).isEmpty();
	}

	@Property(tries = 60, seed = "20261208")
	void concurrentSendsThroughOneInstanceCrashAtMostTwoEndpoints(@ForAll @LongRange(max = 1_000_000) long seed,
			@ForAll @IntRange(min = 2, max = 12) int sends) {
		VirtualFleet fleet = startedFleet(seed);
		VirtualInstance entry = fleet.liveInstances().get(0);
		for (int i = 0; i < sends; i++) {
			fleet.caller()
				.sendTo(entry, new VirtualCaller.Work(CRASHER + i, VirtualFleet.CRASHING_FINGERPRINT,
						fleet.time().nowMillis(), TIMEOUT_MILLIS, 1, true));
		}
		fleet.time().runFor(30_000);
		assertThat(lostEndpoints(fleet)).isLessThanOrEqualTo(MAX_LOST_ENDPOINTS);
		assertThat(fleet.history().violations(fleet.time().nowMillis())).isEmpty();
	}

	@Property(tries = 40, seed = "20261209")
	void newInstancesReceiveQuarantinedRequests(@ForAll @LongRange(max = 1_000_000) long seed) {
		VirtualFleet fleet = startedFleet(seed);
		fleet.caller().sendRepeatable(CRASHER, VirtualFleet.CRASHING_FINGERPRINT, TIMEOUT_MILLIS, SENDS);
		fleet.time().runFor(30_000);
		fleet.replaceAll(1_000);
		fleet.time().runFor(30_000);
		fleet.caller().sendRepeatable(CRASHER + "-again", VirtualFleet.CRASHING_FINGERPRINT, TIMEOUT_MILLIS, 1);
		fleet.time().runFor(10_000);
		assertThat(lostEndpoints(fleet)).isEqualTo(MAX_LOST_ENDPOINTS);
	}

	@Test
	void moreEndpointsAreLostWithoutNotices() {
		SplittableRandom random = new SplittableRandom(20_261_203);
		int maxLost = 0;
		for (int i = 0; i < RUNS; i++) {
			VirtualFleet fleet = startedFleet(random.nextLong());
			fleet.network().setInterceptor(CrashPropertyTests::withoutNotices);
			fleet.caller().sendRepeatable(CRASHER, VirtualFleet.CRASHING_FINGERPRINT, TIMEOUT_MILLIS, SENDS);
			fleet.time().runFor(60_000);
			maxLost = Math.max(maxLost, lostEndpoints(fleet));
		}
		System.out.printf("promise: sequential crashing sends without notices, at most %d endpoints lost%n", maxLost);
		assertThat(maxLost).isGreaterThan(MAX_LOST_ENDPOINTS);
	}

	/**
	 * Concurrent sends through several instances are not prevented from crashing more
	 * endpoints; the test only counts the crashes and checks the other guarantees.
	 */
	@Test
	void concurrentSendsThroughAllInstancesAreMeasured() {
		SplittableRandom random = new SplittableRandom(20_261_203);
		int maxLost = 0;
		for (int i = 0; i < RUNS; i++) {
			VirtualFleet fleet = startedFleet(random.nextLong());
			List<VirtualInstance> entries = fleet.liveInstances();
			for (int entry = 0; entry < entries.size(); entry++) {
				// Work in progress makes each instance prefer a different endpoint.
				for (int busy = 0; busy < entry; busy++) {
					sendTo(fleet, entries.get(entry), 7_000 + 10 * entry + busy);
				}
				sendTo(fleet, entries.get(entry), VirtualFleet.CRASHING_FINGERPRINT);
			}
			fleet.time().runFor(30_000);
			maxLost = Math.max(maxLost, lostEndpoints(fleet));
			assertThat(fleet.history().violations(fleet.time().nowMillis())).isEmpty();
		}
		System.out.printf("promise: concurrent crashing sends through 6 instances, at most %d endpoints lost%n",
				maxLost);
	}

	private static void sendTo(VirtualFleet fleet, VirtualInstance entry, long fingerprint) {
		fleet.caller()
			.sendTo(entry, new VirtualCaller.Work(CRASHER + entry + fingerprint, fingerprint, fleet.time().nowMillis(),
					TIMEOUT_MILLIS, 1, true));
	}

	private static VirtualFleet startedFleet(long seed) {
		VirtualFleet fleet = new VirtualFleet(seed, 3, 2, 8);
		fleet.time().runFor(VirtualFleet.WARM_UP_MILLIS + 2_000);
		return fleet;
	}

	private static void sendHarmlessRequests(VirtualFleet fleet) {
		for (int i = 0; i < 20; i++) {
			String name = FleetHistory.REPEATABLE + "-" + i;
			long fingerprint = 5_000 + i;
			fleet.time().schedule(i * 100L, () -> fleet.caller().sendRepeatable(name, fingerprint, TIMEOUT_MILLIS, 5));
		}
	}

	private static int lostEndpoints(VirtualFleet fleet) {
		return fleet.history().endpointsLostTo(VirtualFleet.CRASHING_FINGERPRINT);
	}

	private static PeerMessage withoutNotices(PeerMessage message) {
		return (message instanceof SuspectNotice) ? null : message;
	}

}
