package io.mulberrylift.core.model;

import java.util.List;

/**
 * One version of the platform's list of instances and endpoints.
 *
 * <p>
 * Immutable. The version increases with every change; the platform publishes one linear
 * history, of which a reader may see an outdated version.
 * </p>
 *
 * @param version version of the content, 0 before the first read
 * @param publishedAtEpochMillis when the platform confirmed this content, in milliseconds
 * since the epoch
 * @param instances the entry instances
 * @param endpoints the endpoints
 */
public record FleetList(long version, long publishedAtEpochMillis, List<InstanceDescription> instances,
		List<EndpointDescription> endpoints) {

	/** The list before the first read. */
	public static final FleetList EMPTY = new FleetList(0, 0, List.of(), List.of());

	/**
	 * Creates the list.
	 * @throws NullPointerException if a reference is null
	 */
	public FleetList {
		instances = List.copyOf(instances);
		endpoints = List.copyOf(endpoints);
	}

}
