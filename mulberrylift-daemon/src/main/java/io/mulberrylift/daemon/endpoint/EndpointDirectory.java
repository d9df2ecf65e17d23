package io.mulberrylift.daemon.endpoint;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The published endpoints by identity.
 *
 * <p>
 * Safe for use by several threads. Readers see one whole list at a time.
 * </p>
 */
public final class EndpointDirectory {

	private static final Logger LOGGER = LoggerFactory.getLogger(EndpointDirectory.class);

	private volatile Map<EndpointId, EndpointDescription> endpoints = Map.of();

	/**
	 * Replaces the content by a list. Endpoints with a malformed address are left out.
	 * @param list the list
	 */
	public void update(FleetList list) {
		this.endpoints = list.endpoints()
			.stream()
			.filter(EndpointDirectory::hasValidAddress)
			.collect(Collectors.toUnmodifiableMap(EndpointDescription::id, Function.identity(),
					(first, second) -> second));
	}

	private static boolean hasValidAddress(EndpointDescription endpoint) {
		try {
			OutboundHttpClient.host(endpoint.address());
			return true;
		}
		catch (IllegalArgumentException ex) {
			LOGGER.warn("endpoint: {} is left out: {}", endpoint.id(), ex.getMessage());
			return false;
		}
	}

	/**
	 * Returns an endpoint.
	 * @param id the endpoint
	 * @return its description, empty when it is not listed
	 */
	public Optional<EndpointDescription> find(EndpointId id) {
		return Optional.ofNullable(this.endpoints.get(id));
	}

}
