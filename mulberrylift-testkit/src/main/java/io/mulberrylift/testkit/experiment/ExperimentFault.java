package io.mulberrylift.testkit.experiment;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Faults that an experiment injects into a run. Stateless.
 */
enum ExperimentFault {

	/** No fault. */
	NONE {
		@Override
		void begin(FaultInjector injector) {
		}

		@Override
		void end(FaultInjector injector) {
		}
	},

	/** A fifth of the engines crashes and restarts with new incarnations. */
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

	/** A network partition separates the first zone; callers still send to all zones. */
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

	/**
	 * A rejected document is published; its valid successor is hidden by the stale
	 * service until the fault ends.
	 */
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

	/** An instance shuts down gracefully while its successor is running. */
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

	/** An instance is killed and restarted. */
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
	 * Begins the fault.
	 * @param injector applies the changes to the fleet
	 */
	abstract void begin(FaultInjector injector);

	/**
	 * Ends the fault.
	 * @param injector applies the changes to the fleet
	 */
	abstract void end(FaultInjector injector);

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	static Optional<ExperimentFault> ofLabel(String label) {
		return Arrays.stream(values()).filter((fault) -> fault.label().equals(label)).findFirst();
	}

}
