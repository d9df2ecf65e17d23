package io.mulberrylift.testkit.platform;

import java.util.List;
import java.util.Set;

/**
 * JSON messages of the platform's control interface. All are immutable and thread-safe.
 */
final class PlatformMessages {

	private PlatformMessages() {
	}

	private static <T> List<T> orEmpty(List<T> list) {
		return (list != null) ? List.copyOf(list) : List.of();
	}

	private static Set<String> orEmpty(Set<String> names) {
		return (names != null) ? Set.copyOf(names) : Set.of();
	}

	record Document(String document) {

		Document {
			if (document == null) {
				throw new IllegalArgumentException("document is missing; expected the configuration as text");
			}
		}

	}

	record Version(long version) {
	}

	record ListChange(List<ListedInstance> addInstances, List<ListedEndpoint> addEndpoints, Set<String> remove,
			Set<String> leaving, Set<String> staying) {

		ListChange {
			addInstances = orEmpty(addInstances);
			addEndpoints = orEmpty(addEndpoints);
			remove = orEmpty(remove);
			leaving = orEmpty(leaving);
			staying = orEmpty(staying);
		}

	}

	record Reads(long configuration, long instances, int waitingWatches) {
	}

}
