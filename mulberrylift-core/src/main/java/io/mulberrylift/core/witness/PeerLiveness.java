package io.mulberrylift.core.witness;

import java.util.OptionalLong;

import io.mulberrylift.core.model.InstanceId;

/**
 * What is known of other instances from their own messages.
 *
 * <p>
 * Owned by the reducer and not safe for use by several threads. The knowledge may be old
 * or missing, so that no promise rests on it.
 * </p>
 */
public interface PeerLiveness {

	/**
	 * Returns the newest process of an instance that was heard of.
	 * @param instance the instance
	 * @return its incarnation, empty when it was never heard of
	 */
	OptionalLong incarnation(InstanceId instance);

	/**
	 * Returns whether an instance has been silent for so long that it counts as lost.
	 * @param instance the instance
	 * @return true if so; false for an instance that was never heard of
	 */
	boolean isLost(InstanceId instance);

	/**
	 * Returns whether an instance has missed several heartbeats.
	 * @param instance the instance
	 * @return true if so; false for an instance that was never heard of
	 */
	boolean isSuspect(InstanceId instance);

	/**
	 * Returns whether an instance said that it is shutting down.
	 * @param instance the instance
	 * @return true if so
	 */
	boolean isLeaving(InstanceId instance);

	/**
	 * Returns whether a process has ended or counts as lost.
	 * @param instance the instance
	 * @param incarnation the process
	 * @return true when a newer process of the instance was heard of or it is silent
	 */
	default boolean isProcessLost(InstanceId instance, long incarnation) {
		OptionalLong known = incarnation(instance);
		boolean replaced = known.isPresent() && known.getAsLong() != incarnation;
		return replaced || isLost(instance);
	}

}
