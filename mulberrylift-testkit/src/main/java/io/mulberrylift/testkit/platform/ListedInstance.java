package io.mulberrylift.testkit.platform;

import java.util.Objects;

/**
 * Instance in the list that the platform publishes.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param id the instance id
 * @param zone its availability zone
 * @param address the address as {@code host:port}
 * @param leaving whether it is about to be removed
 * @param listedSinceEpochMillis time at which the instance was added, in milliseconds
 * since the epoch; set by the platform
 */
public record ListedInstance(String id, String zone, String address, boolean leaving, long listedSinceEpochMillis) {

	/**
	 * Creates the instance.
	 * @throws NullPointerException if an object argument is null
	 */
	public ListedInstance {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(address, "address");
	}

	ListedInstance withLeaving(boolean leaves) {
		return new ListedInstance(this.id, this.zone, this.address, leaves, this.listedSinceEpochMillis);
	}

	ListedInstance withListedSince(long epochMillis) {
		return new ListedInstance(this.id, this.zone, this.address, this.leaving, epochMillis);
	}

}
