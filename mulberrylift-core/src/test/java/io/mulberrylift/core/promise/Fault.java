package io.mulberrylift.core.promise;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * Faults that can be placed at any step of the instance that is about to take it.
 */
enum Fault {

	/** The process dies. */
	KILL {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			at.kill();
			fleet.time().schedule(1_500, () -> fleet.platform().removeInstance(at.identity().id()));
		}
	},

	/** The process dies and starts again before the platform notices. */
	RESTART {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			at.kill();
			fleet.time().schedule(400, () -> fleet.startAs(at.identity().id(), at.identity().zone()));
		}
	},

	/** The process dies, starts again and reads an old list at first. */
	RESTART_WITH_OLD_LIST {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			RESTART.inject(fleet, at);
			fleet.platform().setListLagMillis(at.identity().id(), 6_000);
			fleet.time().schedule(2_000, () -> fleet.platform().setListLagMillis(at.identity().id(), 0));
		}
	},

	/** The process stands still for less than a list is fresh. */
	FREEZE_SHORT {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			at.freeze(2_500);
		}
	},

	/** The process stands still, is dropped meanwhile and wakes late. */
	FREEZE_LONG {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			at.freeze(9_000);
			removeAndRelist(fleet, at.identity().id(), at.identity().zone(), 1_500, 9_500);
		}
	},

	/** The zone is cut off from the others and goes on reading the platform. */
	CUT {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			ZoneId zone = at.identity().zone();
			fleet.network().isolate(zone);
			fleet.time().schedule(6_000, () -> fleet.network().reconnect(zone));
		}
	},

	/** The zone is cut off and the platform drops a live instance of it. */
	CUT_AND_DROP {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			CUT.inject(fleet, at);
			fleet.platform().setReachable(at.identity().id(), false);
			fleet.time().schedule(6_000, () -> fleet.platform().setReachable(at.identity().id(), true));
			removeAndRelist(fleet, at.identity().id(), at.identity().zone(), 500, 7_000);
		}
	},

	/** The platform drops a live instance, which sees an old list for long. */
	DROP_UNSEEN {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			InstanceId id = at.identity().id();
			fleet.platform().pinList(id);
			removeAndRelist(fleet, id, at.identity().zone(), 100, 12_000);
			fleet.time().schedule(11_000, () -> fleet.platform().unpinList(id));
		}
	},

	/** Messages take up to 700 ms and overtake each other. */
	SLOW {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.network().setConditions(0, 0, 700);
			fleet.time().schedule(5_000, () -> fleet.network().setConditions(0, 0, 4));
		}
	},

	/** A third of the messages is lost and a third is doubled. */
	LOSSY {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.network().setConditions(0.33, 0.33, 60);
			fleet.time().schedule(5_000, () -> fleet.network().setConditions(0, 0, 4));
		}
	},

	/** The instance reads old lists. */
	STALE_READER {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.platform().setListLagMillis(at.identity().id(), 2_000);
			fleet.time().schedule(8_000, () -> fleet.platform().setListLagMillis(at.identity().id(), 0));
		}
	},

	/** The platform's services are down. */
	PLATFORM_DOWN {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.platform().down(true);
			fleet.time().schedule(8_000, () -> fleet.platform().down(false));
		}
	},

	/** The process is asked to shut down. */
	SHUT_DOWN {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.shutDown(at);
		}
	},

	/** The platform lists the instance as leaving before the process is asked. */
	LISTED_AS_LEAVING {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.platform().markLeaving(at.identity().id());
			fleet.time().schedule(3_000, () -> fleet.shutDown(at));
		}
	},

	/**
	 * The process hands over, starts again under its old listing, grants and dies.
	 */
	RESTART_AFTER_HANDOVER {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			VirtualInstance holder = oldestOfZone(fleet, at);
			InstanceId id = holder.identity().id();
			fleet.shutDownAndRestart(holder);
			fleet.time()
				.schedule(11_000, () -> fleet.liveProcess(id).ifPresent((process) -> KILL.inject(fleet, process)));
		}
	},

	/**
	 * An instance that was dropped unseen hands over by its old list to one that has held
	 * the seat and started again meanwhile.
	 */
	HANDOVER_BY_OLD_LIST {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.platform().pinList(at.identity().id());
			fleet.time().schedule(100, () -> fleet.platform().removeInstance(at.identity().id()));
			fleet.time()
				.schedule(6_000,
						() -> fleet.liveInstances()
							.stream()
							.filter((other) -> other != at && other.identity().zone().equals(at.identity().zone()))
							.forEach((other) -> RESTART.inject(fleet, other)));
			fleet.time().schedule(8_500, () -> fleet.shutDown(at));
		}
	},

	/** All instances are replaced one after the other. */
	REPLACE_ALL {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.replaceAll(900);
		}
	},

	/** An endpoint crashes. */
	ENDPOINT_CRASH {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.endpoints().get(0).crash();
		}
	},

	/** An endpoint hangs. */
	ENDPOINT_HANG {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.endpoints().get(0).hang(true);
			fleet.time().schedule(6_000, () -> fleet.endpoints().get(0).hang(false));
		}
	},

	/** An endpoint leaves. */
	ENDPOINT_LEAVE {
		@Override
		void inject(VirtualFleet fleet, VirtualInstance at) {
			fleet.endpoints().get(0).leave();
		}
	};

	abstract void inject(VirtualFleet fleet, VirtualInstance at);

	private static VirtualInstance oldestOfZone(VirtualFleet fleet, VirtualInstance at) {
		return fleet.liveInstances()
			.stream()
			.filter((other) -> other.identity().zone().equals(at.identity().zone()))
			.findFirst()
			.orElse(at);
	}

	private static void removeAndRelist(VirtualFleet fleet, InstanceId id, ZoneId zone, long dropMillis,
			long listMillis) {
		fleet.time().schedule(dropMillis, () -> fleet.platform().removeInstance(id));
		fleet.time().schedule(listMillis, () -> fleet.platform().addInstance(id, zone));
	}

}
