package io.mulberrylift.gateway.loop;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.gateway.peer.DigestCodec;

/**
 * Chooses which sums of this instance's work peers are told next: new work first, then
 * work that is over, then what was told longest ago.
 *
 * <p>
 * Not safe for use by several threads; used on the event loop only. It remembers what was
 * told last, so that changes between two messages cost one entry.
 * </p>
 */
final class SummaryQueue {

	/**
	 * Age from which unchanged sums are told again, in milliseconds; below the age at
	 * which peers forget them.
	 */
	private static final long REPUBLISH_MILLIS = 1500;

	private final Map<Integer, Published> published = new HashMap<>();

	/**
	 * Returns whether work has begun that peers were not told of.
	 * @param current the sums of now
	 * @return true if so
	 */
	boolean hasNewWork(Map<Integer, EndpointSummary> current) {
		return current.values().stream().anyMatch((each) -> urgency(each) == Urgency.NEW_WORK);
	}

	/**
	 * Takes the sums for one message and remembers them as told.
	 * @param current the sums of now
	 * @param maxBytes room for them
	 * @param nowMillis the current time
	 * @return the sums, the most urgent first
	 */
	List<EndpointSummary> pollDue(Map<Integer, EndpointSummary> current, int maxBytes, long nowMillis) {
		List<EndpointSummary> due = new ArrayList<>(current.values());
		this.published.keySet().forEach((key) -> {
			if (!current.containsKey(key)) {
				due.add(new EndpointSummary(key, 0, 0, 0, 0, 0));
			}
		});
		due.removeIf(
				(each) -> urgency(each) == Urgency.UNCHANGED && nowMillis - publishedMillis(each) < REPUBLISH_MILLIS);
		due.sort(Comparator.comparing(this::urgency).thenComparing(this::publishedMillis));
		List<EndpointSummary> taken = new ArrayList<>();
		int bytes = 0;
		for (EndpointSummary each : due) {
			bytes += DigestCodec.size(each);
			if (bytes > maxBytes) {
				break;
			}
			taken.add(each);
			recordPublished(each, nowMillis);
		}
		return taken;
	}

	private void recordPublished(EndpointSummary summary, long nowMillis) {
		if (summary.isEmpty()) {
			this.published.remove(summary.endpointKey());
		}
		else {
			this.published.put(summary.endpointKey(), new Published(summary, nowMillis));
		}
	}

	private Urgency urgency(EndpointSummary summary) {
		Published last = this.published.get(summary.endpointKey());
		if (last == null || summary.exceeds(last.summary())) {
			return Urgency.NEW_WORK;
		}
		return (summary.slotsInUse() < last.summary().slotsInUse()) ? Urgency.WORK_ENDED : Urgency.UNCHANGED;
	}

	private long publishedMillis(EndpointSummary summary) {
		Published last = this.published.get(summary.endpointKey());
		return (last != null) ? last.millis() : Long.MIN_VALUE / 2;
	}

	private record Published(EndpointSummary summary, long millis) {
	}

	private enum Urgency {

		/** Peers would send more work to an endpoint that is taken. */
		NEW_WORK,

		/** Peers would keep away from an endpoint that is free. */
		WORK_ENDED,

		/** Peers forget what is not repeated. */
		UNCHANGED

	}

}
