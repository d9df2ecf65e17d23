package io.mulberrylift.gateway.loop;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.mulberrylift.core.placement.RequestWork;

/**
 * Changes of the work of long prompts that peers have not been told yet, in fleets where
 * other work is published in summaries.
 *
 * <p>
 * Not thread-safe; confined to the event loop. A request that was told is told again when
 * it ends, although it is not known any more then.
 * </p>
 */
final class IndividualWork {

	private final Set<Long> changed = new LinkedHashSet<>();

	private final Set<Long> told = new LinkedHashSet<>();

	/**
	 * Collects changes.
	 * @param requests requests whose work has changed
	 * @param current requests in progress that are published individually
	 */
	void collect(Set<Long> requests, Set<Long> current) {
		for (long request : requests) {
			if (current.contains(request) || this.told.contains(request)) {
				this.changed.add(request);
			}
		}
	}

	boolean isEmpty() {
		return this.changed.isEmpty();
	}

	/**
	 * Returns the new and changed work.
	 * @param current work in progress that is published individually
	 * @return work by request
	 */
	Map<Long, RequestWork> changed(Map<Long, RequestWork> current) {
		Map<Long, RequestWork> work = new HashMap<>(current);
		work.keySet().retainAll(this.changed);
		return work;
	}

	/**
	 * Returns the requests that have ended.
	 * @param current work in progress that is published individually
	 * @return requests that peers were told
	 */
	List<Long> ended(Map<Long, RequestWork> current) {
		return this.changed.stream().filter((request) -> !current.containsKey(request)).toList();
	}

	/**
	 * Records that all changes have been told.
	 * @param current work in progress that is published individually
	 */
	void clear(Map<Long, RequestWork> current) {
		this.changed.clear();
		this.told.clear();
		this.told.addAll(current.keySet());
	}

}
