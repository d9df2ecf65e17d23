package io.mulberrylift.core.effect;

/**
 * Effects on the embedding process itself.
 */
public sealed interface ControlEffect extends Effect {

	/**
	 * Writes a log line.
	 *
	 * @param part the part that speaks, used as the line's prefix
	 * @param level how important it is
	 * @param message a short sentence
	 */
	record Log(Part part, Level level, String message) implements ControlEffect {
	}

	/**
	 * Counts something.
	 *
	 * @param part the part that counts
	 * @param name name of the counter in lower case with dots
	 * @param increment by how much, may be negative
	 */
	record Count(Part part, String name, long increment) implements ControlEffect {
	}

	/**
	 * All work is finished and all memory is given back: the process may end.
	 */
	record Exit() implements ControlEffect {
	}

	/**
	 * Importance of a log line.
	 */
	enum Level {

		/** Detail for finding faults. */
		DEBUG,

		/** A change of state. */
		INFO,

		/** A fault that the system handles. */
		WARN

	}

	/**
	 * Parts of the library.
	 */
	enum Part {

		/** Requests and their deadlines. */
		REQUEST,

		/** Choice of endpoints, admission and fairness. */
		SCHEDULING,

		/** Grants for non-idempotent requests. */
		WITNESS,

		/** Other instances. */
		MEMBERSHIP,

		/** The published configuration. */
		CONFIGURATION,

		/** Engine memory. */
		MEMORY,

		/** Requests that crash endpoints. */
		ISOLATION,

		/** Orders to engines. */
		ORDERS;

		/**
		 * Returns the prefix of log lines and metrics.
		 * @return the name in lower case
		 */
		public String prefix() {
			return name().toLowerCase(java.util.Locale.ROOT);
		}

	}

}
