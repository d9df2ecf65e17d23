package io.mulberrylift.testkit.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.mulberrylift.testkit.fleet.FleetDefaults;
import io.mulberrylift.testkit.fleet.InstanceProcess;

/**
 * The faults of a soak run. Each is injected and ended in one blocking call.
 */
enum SoakFault {

	/** An instance is killed and replaced by a new one in the same zone. */
	KILL_INSTANCE {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			String id = pick(fleet.processes().instanceIds(), random);
			String address = fleet.processes().instance(id).callerAddress();
			unavailablePeriods.add(address, System.currentTimeMillis() - MAX_TIMEOUT_MILLIS, Long.MAX_VALUE);
			fleet.removeCallerAddress(address);
			fleet.processes().killAndRemove(id);
			fleet.startInstance(fleet.zone(id));
		}
	},

	/** An instance is suspended for some seconds and resumed. */
	FREEZE_INSTANCE {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			InstanceProcess instance = fleet.processes().instance(pick(fleet.processes().instanceIds(), random));
			long from = System.currentTimeMillis();
			instance.process().suspend();
			Thread.sleep(1_000 + random.nextInt(7_000));
			instance.process().resume();
			unavailablePeriods.add(instance.callerAddress(), from, System.currentTimeMillis() + RESUME_GRACE_MILLIS);
		}
	},

	/** An instance shuts down gracefully after its replacement has started. */
	REPLACE_INSTANCE {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			String id = pick(fleet.processes().instanceIds(), random);
			fleet.startInstance(fleet.zone(id));
			fleet.processes().changeList(Map.of("leaving", Set.of(id)));
			fleet.removeCallerAddress(fleet.processes().instance(id).callerAddress());
			fleet.processes().process(id).terminate();
			Optional<Integer> exit = fleet.processes().process(id).awaitExit(MAX_TIMEOUT_MILLIS);
			if (exit.isEmpty()) {
				throw new IllegalStateException("Instance " + id + " did not exit after a graceful shutdown request");
			}
			fleet.processes().killAndRemove(id);
		}
	},

	/** An engine is killed and replaced by a new one in the same zone. */
	KILL_ENGINE {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			String id = pick(fleet.endpoints("engine"), random);
			fleet.processes().killAndRemove(id);
			fleet.startEngine(fleet.zone(id));
		}
	},

	/** A plain service process is killed and replaced by a new one in the same zone. */
	KILL_SERVICE {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			String id = pick(fleet.endpoints("notify"), random);
			fleet.processes().killAndRemove(id);
			fleet.startService(fleet.zone(id));
		}
	},

	/** An engine is marked as leaving and killed once it is idle or polling times out. */
	DRAIN_ENGINE {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			String id = pick(fleet.endpoints("engine"), random);
			fleet.startEngine(fleet.zone(id));
			fleet.processes().changeList(Map.of("leaving", Set.of(id)));
			for (int polls = 0; polls < MAX_POLLS && busy(fleet, id); polls++) {
				Thread.sleep(POLL_MILLIS);
			}
			fleet.processes().killAndRemove(id);
		}

		private boolean busy(SoakFleet fleet, String id) throws IOException {
			var load = fleet.processes().readEndpoint(id, "/engine/v1/load?cacheAfter=0");
			return load.path("runningRequests").asInt() + load.path("queuedRequests").asInt() > 0;
		}
	},

	/** An engine truncates its next stream. */
	TRUNCATE_STREAM {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			String id = pick(fleet.endpoints("engine"), random);
			fleet.processes().controlEndpoint(id, "truncate", Map.of("afterTokens", random.nextInt(20)));
		}
	},

	/** An engine accepts requests without answering for some seconds. */
	HANG_ENGINE {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			String id = pick(fleet.endpoints("engine"), random);
			fleet.processes().controlEndpoint(id, "hang", Map.of("on", true));
			Thread.sleep(1_000 + random.nextInt(4_000));
			fleet.processes().controlEndpoint(id, "hang", Map.of("on", false));
		}
	},

	/** The platform answers with outdated state for some seconds. */
	STALE_PLATFORM {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			switchPlatform(fleet, "stale", random);
		}
	},

	/** The platform does not answer for some seconds. */
	PLATFORM_DOWN {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			switchPlatform(fleet, "down", random);
		}
	},

	/** A network partition separates a zone from the other zones and the platform. */
	CUT_ZONE {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			String zone = pick(FleetDefaults.ZONES, random);
			fleet.processes().cutZone(zone, true);
			Thread.sleep(1_000 + random.nextInt(12_000));
			fleet.processes().cutZone(zone, false);
		}
	},

	/** The configuration is published again as a new version. */
	PUBLISH {
		@Override
		void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random) throws Exception {
			fleet.processes().publish(FleetDefaults.configuration());
		}
	};

	private static final long MAX_TIMEOUT_MILLIS = 90_000;

	private static final long RESUME_GRACE_MILLIS = 1_000;

	private static final long POLL_MILLIS = 250;

	private static final int MAX_POLLS = 240;

	/**
	 * Injects the fault and ends it.
	 * @param fleet the fleet
	 * @param unavailablePeriods receives the periods in which an instance cannot answer
	 * @param random source of randomness
	 * @throws Exception if a process cannot be started or reached
	 */
	abstract void inject(SoakFleet fleet, UnavailablePeriods unavailablePeriods, RandomGenerator random)
			throws Exception;

	private static String pick(List<String> candidates, RandomGenerator random) {
		return candidates.get(random.nextInt(candidates.size()));
	}

	private static void switchPlatform(SoakFleet fleet, String name, RandomGenerator random) throws Exception {
		fleet.processes().controlPlatform(name, Map.of("on", true));
		Thread.sleep(1_000 + random.nextInt(8_000));
		fleet.processes().controlPlatform(name, Map.of("on", false));
	}

}
