package io.mulberrylift.core.model;

import java.util.Objects;

/**
 * An entry instance as published in the instance list.
 *
 * @param id the instance
 * @param zone its availability zone
 * @param address host and port on which it listens for other instances
 * @param leaving whether the platform is about to remove it
 * @param listedSinceEpochMillis when this listing began, in milliseconds since the epoch;
 * an instance that was dropped and listed again has a later time
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
