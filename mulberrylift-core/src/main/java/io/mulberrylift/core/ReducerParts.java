package io.mulberrylift.core;

import java.util.SplittableRandom;

import io.mulberrylift.core.configuration.ConfigurationPart;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.isolation.CrashGuard;
import io.mulberrylift.core.memory.MemoryPart;
import io.mulberrylift.core.request.RequestPart;
import io.mulberrylift.core.request.RetryPolicy;
import io.mulberrylift.core.scheduling.PolicyScheduler;
import io.mulberrylift.core.scheduling.Scheduler;
import io.mulberrylift.core.witness.Claims;

/**
 * The parts of one reducer, built on one shared state.
 *
 * @param requests the life of requests
 * @param scheduler admission, order and place
 * @param claims claims of keys
 * @param memory reservations of engine memory
 * @param crashGuard requests that crash endpoints
 * @param configuration the published configuration
 */
record ReducerParts(RequestPart requests, Scheduler scheduler, Claims claims, MemoryPart memory, CrashGuard crashGuard,
		ConfigurationPart configuration) {

	static ReducerParts create(FleetState fleet, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Scheduler scheduler = new PolicyScheduler(fleet, random.split());
		Claims claims = new io.mulberrylift.core.witness.UnprovedClaims();
		MemoryPart memory = new MemoryPart(fleet);
		CrashGuard crashGuard = new io.mulberrylift.core.isolation.OpenCrashGuard();
		RequestPart requests = new RequestPart(fleet, scheduler, claims, memory, crashGuard,
				new RetryPolicy(random.split()));
		return new ReducerParts(requests, scheduler, claims, memory, crashGuard, new ConfigurationPart(fleet));
	}

}
