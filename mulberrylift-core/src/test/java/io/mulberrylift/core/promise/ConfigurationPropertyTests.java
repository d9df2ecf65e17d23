package io.mulberrylift.core.promise;

import java.util.concurrent.atomic.AtomicInteger;

import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.ConfigurationMessage;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that an accepted configuration reaches every instance within seconds and that no
 * instance returns to an older version.
 */
class ConfigurationPropertyTests {

	private static final long PROPAGATION_LIMIT_MILLIS = 8_000;

	@Property(tries = 60, seed = "20261210")
	void versionReadByOneInstanceReachesAll(@ForAll @LongRange(max = 1_000_000) long seed,
			@ForAll @IntRange(max = 8) int reader) {
		VirtualFleet fleet = fleetWithOneReader(seed, reader);
		fleet.platform().publish(2, fleet.configuration());
		fleet.time().runFor(PROPAGATION_LIMIT_MILLIS);
		assertThat(fleet.liveInstances()).allMatch((instance) -> version(instance) == 2);
		assertThat(fleet.history().violations(fleet.time().nowMillis())).isEmpty();
	}

	@Property(tries = 60, seed = "20261211")
	void versionReachesAllUnderAFault(@ForAll @LongRange(max = 1_000_000) long seed, @ForAll Fault fault,
			@ForAll @IntRange(max = 8) int target) {
		VirtualFleet fleet = warmedUpFleet(seed);
		fault.inject(fleet, fleet.liveInstances().get(target));
		fleet.time().runFor(1_000);
		fleet.platform().publish(2, fleet.configuration());
		fleet.time().runFor(15_000);
		fleet.platform().publish(3, fleet.configuration());
		fleet.time().runFor(PROPAGATION_LIMIT_MILLIS);
		assertThat(fleet.liveInstances()).allMatch((instance) -> version(instance) == 3);
		assertThat(fleet.history().violations(fleet.time().nowMillis())).isEmpty();
	}

	@Test
	void versionDoesNotReachAllWithoutPulls() {
		VirtualFleet fleet = fleetWithOneReader(1, 0);
		fleet.network().setInterceptor((message) -> (message instanceof ConfigurationMessage.Pull) ? null : message);
		fleet.platform().publish(2, fleet.configuration());
		fleet.time().runFor(PROPAGATION_LIMIT_MILLIS);
		assertThat(fleet.liveInstances()).anyMatch((instance) -> version(instance) == 1);
	}

	@Test
	void rejectedVersionStaysOutAndIsNotPulled() {
		VirtualFleet fleet = fleetWithOneReader(1, 0);
		AtomicInteger pulls = new AtomicInteger();
		fleet.network().setInterceptor((message) -> {
			pulls.addAndGet((message instanceof ConfigurationMessage.Pull) ? 1 : 0);
			return message;
		});
		fleet.platform().publishRejected(2, fleet.configuration());
		fleet.time().runFor(PROPAGATION_LIMIT_MILLIS);
		assertThat(fleet.liveInstances()).allMatch((instance) -> version(instance) == 1);
		assertThat(pulls.get()).isZero();
	}

	@Test
	void newInstanceWithAStaleServiceAppliesThePeersVersion() {
		VirtualFleet fleet = warmedUpFleet(1);
		fleet.platform().publish(2, fleet.configuration());
		fleet.time().runFor(PROPAGATION_LIMIT_MILLIS);
		ZoneId zone = fleet.zones().get(0);
		VirtualInstance fresh = fleet.start(zone);
		fleet.platform().staleConfiguration(fresh.identity().id());
		fleet.platform().addInstance(fresh.identity().id(), zone);
		fleet.time().runFor(PROPAGATION_LIMIT_MILLIS);
		assertThat(version(fresh)).isEqualTo(2);
		assertThat(fleet.history().violations(fleet.time().nowMillis())).isEmpty();
	}

	@Test
	void readsOfTheServiceAreMeasured() {
		VirtualFleet fleet = warmedUpFleet(1);
		AtomicInteger reads = new AtomicInteger();
		fleet.setObserver(
				(instance, effect) -> reads.addAndGet((effect instanceof PlatformEffect.WatchConfiguration) ? 1 : 0));
		fleet.time().runFor(60_000);
		System.out.printf("promise: %.1f reads of the configuration service per second by 9 instances in 3 zones%n",
				reads.get() / 60.0);
		assertThat(reads.get()).isBetween(60, 240);
	}

	private static VirtualFleet fleetWithOneReader(long seed, int reader) {
		VirtualFleet fleet = warmedUpFleet(seed);
		VirtualInstance onlyReader = fleet.liveInstances().get(reader);
		fleet.liveInstances()
			.stream()
			.filter((instance) -> instance != onlyReader)
			.forEach((instance) -> fleet.platform().staleConfiguration(instance.identity().id()));
		return fleet;
	}

	private static VirtualFleet warmedUpFleet(long seed) {
		VirtualFleet fleet = new VirtualFleet(seed, 3, 3, 2);
		fleet.time().runFor(5_000);
		return fleet;
	}

	private static long version(VirtualInstance instance) {
		return instance.reducer().fleet().configurationVersion();
	}

}
