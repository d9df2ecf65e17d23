package io.mulberrylift.core.forwarding;

import java.util.Objects;

import io.mulberrylift.core.model.EndpointId;

/**
 * A process of a service that requests can be sent to.
 *
 * <p>
 * Immutable. A restarted process has a new identity, so an identity denotes a single
 * process.
 * </p>
 *
 * @param id identity of the process
 * @param service name of its service
 * @param host IP address of the process
 * @param port TCP port of the process
 * @param zone availability zone
 * @param slots number of requests that it runs concurrently
 * @param leaving whether it is about to be removed and must not receive new work
 * @param warmUpLeftMillis remaining time of its warm-up, during which it is slow
 * @param startedEpochMillis start of the process in milliseconds since 1970 by its own
 * clock, 0 if it is not known
 */
public record ForwardEndpoint(EndpointId id, String service, String host, int port, String zone, int slots,
		boolean leaving, long warmUpLeftMillis, long startedEpochMillis) {

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
	 * Creates an endpoint whose start is not known.
	 * @param id identity of the process
	 * @param service name of its service
	 * @param host address of the process
	 * @param port port of the process
	 * @param zone availability zone
	 * @param slots number of requests that it runs concurrently
	 * @param leaving whether it must not receive new work
	 * @param warmUpLeftMillis remaining time of its warm-up
	 */
	public ForwardEndpoint(EndpointId id, String service, String host, int port, String zone, int slots,
			boolean leaving, long warmUpLeftMillis) {
		this(id, service, host, port, zone, slots, leaving, warmUpLeftMillis, 0);
	}

	/**
	 * Returns the address as used in messages and headers.
	 * @return the host and the port, separated by a colon
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
