package io.mulberrylift.core.model;

import java.util.Objects;

/**
 * An entry instance as published in the instance list.
 *
 * @param id the instance
 * @param zone its availability zone
 * @param address host and port on which it listens for other instances
 * @param leaving whether the platform is about to remove it
 * @param listedSinceEpochMillis time from which the instance has been listed without
 * interruption, in milliseconds since the epoch; later for an instance that was removed
 * and listed again
 */
public record InstanceDescription(InstanceId id, ZoneId zone, String address, boolean leaving,
		long listedSinceEpochMillis) {

	/**
	 * Creates the description.
	 * @throws NullPointerException if a reference is null
	 */
	public InstanceDescription {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(address, "address");
	}

}
