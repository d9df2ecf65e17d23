package io.mulberrylift.core.witness;

import java.util.OptionalLong;

import io.mulberrylift.core.model.InstanceId;

/**
 * Liveness of other instances, as observed from their own messages.
 *
 * <p>
 * Not thread-safe; owned by the reducer. The state may be stale or missing, so that the
 * at-most-once guarantee must not depend on it.
 * </p>
 */
public interface PeerLiveness {

	/**
	 * Returns the incarnation of the newest known process of an instance.
	 * @param instance the instance
	 * @return the incarnation, empty if no message of the instance was ever received
	 */
	OptionalLong incarnation(InstanceId instance);

	/**
	 * Returns whether no message of an instance was received for so long that it counts
	 * as lost.
	 * @param instance the instance
	 * @return true if so; false if no message of the instance was ever received
	 */
	boolean isLost(InstanceId instance);

	/**
	 * Returns whether an instance has missed several heartbeats.
	 * @param instance the instance
	 * @return true if so; false if no message of the instance was ever received
	 */
	boolean isSuspect(InstanceId instance);

	/**
	 * Returns whether an instance has announced that it is shutting down.
	 * @param instance the instance
	 * @return true if it has
	 */
	boolean isLeaving(InstanceId instance);

	/**
	 * Returns whether a process was replaced or counts as lost.
	 * @param instance the instance
	 * @param incarnation incarnation of the process
	 * @return true if another process of the instance is known or the instance is lost
	 */
	default boolean isProcessLost(InstanceId instance, long incarnation) {
		OptionalLong known = incarnation(instance);
		boolean replaced = known.isPresent() && known.getAsLong() != incarnation;
		return replaced || isLost(instance);
	}

}
