package io.mulberrylift.testkit.experiment;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Faults that the experiment injects into a run. Without state.
 */
enum ExperimentFault {

	/** Nothing fails. */
	NONE {
		@Override
		void begin(FaultInjector injector) {
		}

		@Override
		void end(FaultInjector injector) {
		}
	},

	/** A fifth of the engines dies and comes back with new incarnations. */
	ENGINES_DIE {
		@Override
		void begin(FaultInjector injector) {
			injector.killEngines();
		}

		@Override
		void end(FaultInjector injector) {
			injector.restartEngines();
		}
	},

	/** The first zone is cut off from the others; callers go on in all zones. */
	ZONE_CUT {
		@Override
		void begin(FaultInjector injector) {
			injector.cutZone();
		}

		@Override
		void end(FaultInjector injector) {
			injector.healZones();
		}
	},

	/** A rejected document is published, then a good one that the stale service hides. */
	CONFIGURATION_STALE {
		@Override
		void begin(FaultInjector injector) {
			injector.publishRejectedDocument();
		}

		@Override
		void end(FaultInjector injector) {
			injector.publishValidDocument();
		}
	},

	/** An instance shuts down gracefully beside its successor. */
	INSTANCE_REPLACED {
		@Override
		void begin(FaultInjector injector) {
			injector.startSuccessor();
		}

		@Override
		void end(FaultInjector injector) {
			injector.removePredecessor();
		}
	},

	/** An instance is killed and started anew. */
	INSTANCE_KILLED {
		@Override
		void begin(FaultInjector injector) {
			injector.killInstance();
		}

		@Override
		void end(FaultInjector injector) {
			injector.restartInstance();
		}
	};

	/**
	 * Brings the fault about.
	 * @param injector acts on the fleet
	 */
	abstract void begin(FaultInjector injector);

	/**
	 * Ends the fault.
	 * @param injector acts on the fleet
	 */
	abstract void end(FaultInjector injector);

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	static Optional<ExperimentFault> ofLabel(String label) {
		return Arrays.stream(values()).filter((fault) -> fault.label().equals(label)).findFirst();
	}

}
