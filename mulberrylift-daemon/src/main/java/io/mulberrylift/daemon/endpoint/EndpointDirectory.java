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
 * The published endpoints by identifier.
 *
 * <p>
 * Safe for use by several threads. Readers always see one complete list.
 * </p>
 */
public final class EndpointDirectory {

	private static final Logger LOGGER = LoggerFactory.getLogger(EndpointDirectory.class);

	private volatile Map<EndpointId, EndpointDescription> endpoints = Map.of();

	/**
	 * Replaces all endpoints by those of a list. Endpoints with a malformed address are
	 * omitted.
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
			LOGGER.warn("endpoint: ignoring {}: {}", endpoint.id(), ex.getMessage());
			return false;
		}
	}

	/**
	 * Finds an endpoint.
	 * @param id the endpoint
	 * @return its description, empty when it is not listed
	 */
	public Optional<EndpointDescription> find(EndpointId id) {
		return Optional.ofNullable(this.endpoints.get(id));
	}

}
