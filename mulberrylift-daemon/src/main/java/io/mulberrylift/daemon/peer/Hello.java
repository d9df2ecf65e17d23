package io.mulberrylift.daemon.peer;

import java.util.Objects;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * Handshake frame that each side of a connection sends first.
 *
 * @param protocolVersion protocol version of the sender
 * @param instance the sender
 * @param incarnation incarnation of the sender's process
 * @param zone availability zone of the sender
 * @param address host and port on which the sender listens for other instances
 */
public record Hello(int protocolVersion, InstanceId instance, long incarnation, ZoneId zone, String address) {

	/** Protocol version of this build. */
	public static final int PROTOCOL_VERSION = 1;

	/**
	 * Creates a handshake frame.
	 * @throws NullPointerException if a reference is null
	 */
	public Hello {
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(address, "address");
	}

	/**
	 * Creates the handshake frame of this process, with the protocol version of this
	 * build.
	 * @param instance this instance
	 * @param incarnation incarnation of this process
	 * @param zone availability zone of this process
	 * @param address host and port on which it listens for other instances
	 * @return the handshake frame
	 */
	public static Hello of(InstanceId instance, long incarnation, ZoneId zone, String address) {
		return new Hello(PROTOCOL_VERSION, instance, incarnation, zone, address);
	}

}
