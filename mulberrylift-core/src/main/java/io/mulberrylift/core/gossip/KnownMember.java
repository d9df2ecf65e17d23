package io.mulberrylift.core.gossip;

import java.util.Objects;

/**
 * An instance in the membership view of another one.
 *
 * @param address address at which other instances reach it
 * @param zone its availability zone
 * @param ageMillis time since the last message from it to any instance, as far as the
 * sender of this entry knows
 */
public record KnownMember(String address, String zone, long ageMillis) {

	/**
	 * Creates the entry.
	 */
	public KnownMember {
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(zone, "zone");
	}

}
