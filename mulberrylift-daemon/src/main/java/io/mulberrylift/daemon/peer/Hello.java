package io.mulberrylift.daemon.peer;

import java.util.Objects;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * The first frame of each side of a connection.
 *
 * @param protocolVersion version of the protocol that the sender speaks
 * @param instance the sender
 * @param incarnation incarnation of the sender's process
 * @param zone availability zone of the sender
 * @param address host and port on which the sender listens for other instances
 */
public record Hello(int protocolVersion, InstanceId instance, long incarnation, ZoneId zone, String address) {

	/** Version that this build speaks. */
	public static final int PROTOCOL_VERSION = 1;

	/**
	 * Creates the frame.
	 * @throws NullPointerException if a reference is null
	 */
	public Hello {
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(address, "address");
	}

	/**
	 * Returns the frame of a process of this build.
	 * @param instance this instance
	 * @param incarnation incarnation of this process
	 * @param zone availability zone of this process
	 * @param address host and port on which it listens for other instances
	 * @return the frame
	 */
	public static Hello of(InstanceId instance, long incarnation, ZoneId zone, String address) {
		return new Hello(PROTOCOL_VERSION, instance, incarnation, zone, address);
	}

}
