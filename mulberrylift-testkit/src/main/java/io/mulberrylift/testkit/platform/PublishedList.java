package io.mulberrylift.testkit.platform;

import java.util.List;

/**
 * The instance list as it is read.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param version grows with each change
 * @param publishedAtEpochMillis when this content was confirmed last
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
