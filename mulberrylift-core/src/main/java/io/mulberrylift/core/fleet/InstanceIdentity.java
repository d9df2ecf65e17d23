package io.mulberrylift.core.fleet;

import java.util.Objects;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * Identity of the process of an entry instance.
 *
 * @param id the instance
 * @param zone its availability zone
 * @param incarnation number that is different for every process of the instance
 */
public record InstanceIdentity(InstanceId id, ZoneId zone, long incarnation) {

	/**
	 * Creates the identity.
	 * @throws NullPointerException if a reference is null
	 */
	public InstanceIdentity {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(zone, "zone");
	}

}
