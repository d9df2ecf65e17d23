package io.mulberrylift.testkit.platform;

import java.util.List;

/**
 * Published list of instances and endpoints.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param version the version, incremented by each change
 * @param publishedAtEpochMillis time at which the content was last confirmed, in
 * milliseconds since the epoch
 * @param instances the instances
 * @param endpoints the endpoints
 */
public record PublishedList(long version, long publishedAtEpochMillis, List<ListedInstance> instances,
		List<ListedEndpoint> endpoints) {

	/**
	 * Creates the list.
	 */
	public PublishedList {
		instances = List.copyOf(instances);
		endpoints = List.copyOf(endpoints);
	}

}
