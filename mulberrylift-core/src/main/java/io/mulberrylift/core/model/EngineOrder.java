package io.mulberrylift.core.model;

import java.util.Objects;

/**
 * An order to a model engine to change what it serves.
 *
 * @param kind what to change
 * @param subject name of the model, adapter or role
 * @param version version to load, empty text for a role
 * @param fencingNumber number by which engines that check refuse an older commander
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
	 * What an order changes.
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
