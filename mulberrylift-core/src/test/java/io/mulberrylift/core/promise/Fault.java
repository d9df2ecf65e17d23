package io.mulberrylift.core.promise;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * Faults that can be injected at any step, into the instance that is about to execute the
 * step.
 */
enum Fault {

	/** The process is killed. */
	KILL {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			target.kill();
			fleet.time().schedule(1_500, () -> fleet.platform().removeInstance(target.identity().id()));
		}
	},

	/** The process is killed and restarts before the platform notices. */
	RESTART {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			target.kill();
			fleet.time().schedule(400, () -> fleet.startAs(target.identity().id(), target.identity().zone()));
		}
	},

	/** The process is killed, restarts and reads an outdated list at first. */
	RESTART_WITH_OLD_LIST {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			RESTART.inject(fleet, target);
			fleet.platform().setListLagMillis(target.identity().id(), 6_000);
			fleet.time().schedule(2_000, () -> fleet.platform().setListLagMillis(target.identity().id(), 0));
		}
	},

	/** The process is frozen for less time than a list stays fresh. */
	FREEZE_SHORT {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			target.freeze(2_500);
		}
	},

	/** The process is frozen, is removed from the list meanwhile and resumes late. */
	FREEZE_LONG {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			target.freeze(9_000);
			removeAndRelist(fleet, target.identity().id(), target.identity().zone(), 1_500, 9_500);
		}
	},

	/**
	 * The zone is isolated from the others but can still read the platform's services.
	 */
	CUT {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			ZoneId zone = target.identity().zone();
			fleet.network().isolate(zone);
			fleet.time().schedule(6_000, () -> fleet.network().reconnect(zone));
		}
	},

	/**
	 * The zone is isolated and the platform removes a live instance of it from the list.
	 */
	CUT_AND_DROP {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			CUT.inject(fleet, target);
			fleet.platform().setReachable(target.identity().id(), false);
			fleet.time().schedule(6_000, () -> fleet.platform().setReachable(target.identity().id(), true));
			removeAndRelist(fleet, target.identity().id(), target.identity().zone(), 500, 7_000);
		}
	},

	/**
	 * The platform removes a live instance, which keeps reading an outdated list for a
	 * long time.
	 */
	DROP_UNSEEN {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			InstanceId id = target.identity().id();
			fleet.platform().pinList(id);
			removeAndRelist(fleet, id, target.identity().zone(), 100, 12_000);
			fleet.time().schedule(11_000, () -> fleet.platform().unpinList(id));
		}
	},

	/** Messages are delayed by up to 700 ms and reordered. */
	SLOW {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.network().setConditions(0, 0, 700);
			fleet.time().schedule(5_000, () -> fleet.network().setConditions(0, 0, 4));
		}
	},

	/** A third of the messages is lost and a third is duplicated. */
	LOSSY {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.network().setConditions(0.33, 0.33, 60);
			fleet.time().schedule(5_000, () -> fleet.network().setConditions(0, 0, 4));
		}
	},

	/** The instance reads outdated lists. */
	STALE_READER {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.platform().setListLagMillis(target.identity().id(), 2_000);
			fleet.time().schedule(8_000, () -> fleet.platform().setListLagMillis(target.identity().id(), 0));
		}
	},

	/** The platform's services are unavailable. */
	PLATFORM_DOWN {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.platform().down(true);
			fleet.time().schedule(8_000, () -> fleet.platform().down(false));
		}
	},

	/** The process is asked to shut down. */
	SHUT_DOWN {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.shutDown(target);
		}
	},

	/**
	 * The platform lists the instance as leaving before the process is asked to shut
	 * down.
	 */
	LISTED_AS_LEAVING {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.platform().markLeaving(target.identity().id());
			fleet.time().schedule(3_000, () -> fleet.shutDown(target));
		}
	},

	/**
	 * The process hands over its witness seat, restarts under its previous listing,
	 * grants claims and is killed.
	 */
	RESTART_AFTER_HANDOVER {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			VirtualInstance holder = oldestOfZone(fleet, target);
			InstanceId id = holder.identity().id();
			fleet.shutDownAndRestart(holder);
			fleet.time()
				.schedule(11_000, () -> fleet.liveProcess(id).ifPresent((process) -> KILL.inject(fleet, process)));
		}
	},

	/**
	 * An instance that has not seen its removal from the list hands over, based on its
	 * outdated list, to an instance that has held the seat and restarted meanwhile.
	 */
	HANDOVER_BY_OLD_LIST {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.platform().pinList(target.identity().id());
			fleet.time().schedule(100, () -> fleet.platform().removeInstance(target.identity().id()));
			fleet.time()
				.schedule(6_000, () -> fleet.liveInstances()
					.stream()
					.filter((other) -> other != target && other.identity().zone().equals(target.identity().zone()))
					.forEach((other) -> RESTART.inject(fleet, other)));
			fleet.time().schedule(8_500, () -> fleet.shutDown(target));
		}
	},

	/** All instances are replaced one after another. */
	REPLACE_ALL {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.replaceAll(900);
		}
	},

	/** An endpoint crashes. */
	ENDPOINT_CRASH {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.endpoints().get(0).crash();
		}
	},

	/** An endpoint stops responding for a while. */
	ENDPOINT_HANG {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.endpoints().get(0).hang(true);
			fleet.time().schedule(6_000, () -> fleet.endpoints().get(0).hang(false));
		}
	},

	/** An endpoint starts to leave. */
	ENDPOINT_LEAVE {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance target) {
			fleet.endpoints().get(0).leave();
		}
	};

	abstract void inject(VirtualFleet fleet, VirtualInstance target);

	private static VirtualInstance oldestOfZone(VirtualFleet fleet, VirtualInstance target) {
		return fleet.liveInstances()
			.stream()
			.filter((other) -> other.identity().zone().equals(target.identity().zone()))
			.findFirst()
			.orElse(target);
	}

	private static void removeAndRelist(VirtualFleet fleet, InstanceId id, ZoneId zone, long dropMillis,
			long listMillis) {
		fleet.time().schedule(dropMillis, () -> fleet.platform().removeInstance(id));
		fleet.time().schedule(listMillis, () -> fleet.platform().addInstance(id, zone));
	}

}
