package io.mulberrylift.core.forwarding;

import java.util.Objects;

import io.mulberrylift.core.model.EndpointId;

/**
 * One process of a service that requests can be sent to.
 *
 * <p>
 * Immutable. A restarted process has a new identity, so that equal identities mean the
 * same process.
 * </p>
 *
 * @param id identity of the process
 * @param service name of its service
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param slots requests that it runs at once
 * @param leaving whether it must get no new work
 * @param warmUpLeftMillis how much longer it is slow after its start
 */
public record ForwardEndpoint(EndpointId id, String service, String host, int port, String zone, int slots,
		boolean leaving, long warmUpLeftMillis) {

	/**
	 * Creates the endpoint.
	 * @throws IllegalArgumentException if the port or the number of slots is out of range
	 */
	public ForwardEndpoint {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(zone, "zone");
		if (port < 1 || port > 65535) {
			throw new IllegalArgumentException("port must be between 1 and 65535");
		}
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive");
		}
	}

	/**
	 * Returns the address for messages and headers.
	 * @return host and port joined by a colon
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
