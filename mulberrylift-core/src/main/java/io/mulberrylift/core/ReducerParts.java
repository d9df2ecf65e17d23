package io.mulberrylift.core;

import java.util.SplittableRandom;

import io.mulberrylift.core.configuration.ConfigurationDistributor;
import io.mulberrylift.core.configuration.ConfigurationPart;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.isolation.CrashGuardPart;
import io.mulberrylift.core.membership.MembershipPart;
import io.mulberrylift.core.memory.MemoryPart;
import io.mulberrylift.core.request.RequestPart;
import io.mulberrylift.core.request.RetryPolicy;
import io.mulberrylift.core.scheduling.PolicyScheduler;
import io.mulberrylift.core.scheduling.Scheduler;
import io.mulberrylift.core.witness.WitnessPart;

/**
 * The parts of one reducer, built on one shared state.
 *
 * @param requests the life of requests
 * @param scheduler admission, order and place
 * @param claims claims of keys
 * @param memory reservations of engine memory
 * @param crashGuard requests that crash endpoints
 * @param configuration the published configuration
 * @param membership other instances
 * @param configurationDistributor configurations between instances
 */
record ReducerParts(RequestPart requests, Scheduler scheduler, WitnessPart claims, MemoryPart memory,
		CrashGuardPart crashGuard, ConfigurationPart configuration, MembershipPart membership,
		ConfigurationDistributor configurationDistributor) {

	static ReducerParts create(FleetState fleet, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Scheduler scheduler = new PolicyScheduler(fleet, random.split());
		MembershipPart membership = new MembershipPart(fleet);
		WitnessPart claims = new WitnessPart(fleet, membership, random.split());
		MemoryPart memory = new MemoryPart(fleet);
		CrashGuardPart crashGuard = new CrashGuardPart(fleet);
		RequestPart requests = new RequestPart(fleet, scheduler, claims, memory, crashGuard,
				new RetryPolicy(random.split()));
		ConfigurationPart configuration = new ConfigurationPart(fleet);
		ConfigurationDistributor spread = new ConfigurationDistributor(fleet, configuration, random.split());
		return new ReducerParts(requests, scheduler, claims, memory, crashGuard, configuration, membership, spread);
	}

}
