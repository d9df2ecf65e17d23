package io.mulberrylift.core.model;

import java.util.Objects;

/**
 * A control order that changes what a model engine serves.
 *
 * @param kind the kind of change
 * @param subject name of the model, adapter or role
 * @param version version to load, an empty string for a role
 * @param fencingNumber number by which engines that check fencing refuse orders of an
 * outdated coordinator
 */
public record EngineOrder(Kind kind, String subject, String version, long fencingNumber) {

	/**
	 * Creates the order.
	 * @throws NullPointerException if a reference is null
	 */
	public EngineOrder {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(subject, "subject");
		Objects.requireNonNull(version, "version");
	}

	/**
	 * The kinds of change.
	 */
	public enum Kind {

		/** Loads a model or a version of it. */
		LOAD_MODEL,

		/** Loads an adapter. */
		LOAD_ADAPTER,

		/** Changes the engine's role. */
		CHANGE_ROLE

	}

}
