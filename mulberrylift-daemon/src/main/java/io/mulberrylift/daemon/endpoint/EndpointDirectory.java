package io.mulberrylift.daemon.endpoint;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;

/**
 * The published endpoints by identity.
 *
 * <p>
 * Safe for use by several threads. Readers see one whole list at a time.
 * </p>
 */
public final class EndpointDirectory {

	private volatile Map<EndpointId, EndpointDescription> endpoints = Map.of();

	/**
	 * Replaces the content by a list.
	 * @param list the list
	 */
	public void update(FleetList list) {
		this.endpoints = list.endpoints()
			.stream()
			.collect(Collectors.toUnmodifiableMap(EndpointDescription::id, Function.identity(),
					(first, second) -> second));
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
