package io.mulberrylift.testkit.platform;

import java.util.Objects;

/**
 * An instance as the platform lists it.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param id the instance
 * @param zone its availability zone
 * @param address host and port
 * @param leaving whether it is about to leave
 * @param listedSinceEpochMillis when it was listed; set by the platform
 */
public record ListedInstance(String id, String zone, String address, boolean leaving, long listedSinceEpochMillis) {

	/**
	 * Creates the instance.
	 * @throws NullPointerException if a reference is null
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
