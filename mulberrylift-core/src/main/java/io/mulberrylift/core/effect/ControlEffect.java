package io.mulberrylift.core.effect;

/**
 * Effects that concern the embedding process itself.
 */
public sealed interface ControlEffect extends Effect {

	/**
	 * Writes a log line.
	 *
	 * @param part the part that logs, shown as the prefix of the line
	 * @param level the severity
	 * @param message the text
	 */
	record Log(Part part, Level level, String message) implements ControlEffect {
	}

	/**
	 * Adds to a counter.
	 *
	 * @param part the part to which the counter belongs
	 * @param name name of the counter in lower case with dots
	 * @param increment the amount to add, may be negative
	 */
	record Count(Part part, String name, long increment) implements ControlEffect {
	}

	/**
	 * Ends the process: all requests are finished and all engine memory is released.
	 */
	record Exit() implements ControlEffect {
	}

	/**
	 * Severity of a log line.
	 */
	enum Level {

		/** Details for diagnosis. */
		DEBUG,

		/** A change of state. */
		INFO,

		/** A problem that the system handles by itself. */
		WARN

	}

	/**
	 * Parts of the library, the origin of log lines and counters.
	 */
	enum Part {

		/** Requests and their deadlines. */
		REQUEST,

		/** Admission, fairness and choice of endpoints. */
		SCHEDULING,

		/** Claims and grants of idempotency keys. */
		WITNESS,

		/** Liveness of the other instances. */
		MEMBERSHIP,

		/** The published configuration. */
		CONFIGURATION,

		/** Reservations of engine memory. */
		MEMORY,

		/** Isolation of requests that crash endpoints. */
		ISOLATION,

		/** Control orders to engines. */
		ORDERS;

		/**
		 * Returns the prefix of the log lines and metrics of this part.
		 * @return the name in lower case
		 */
		public String prefix() {
			return name().toLowerCase(java.util.Locale.ROOT);
		}

	}

}
