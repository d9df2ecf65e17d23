package io.mulberrylift.gateway.loop;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.gateway.peer.DigestCodec;

/**
 * Selects which summaries of this instance's work are published next: new work first,
 * then ended work, then the summaries published least recently.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Keeps the last published summary of each
 * endpoint, so that several changes between two messages take a single entry.
 * </p>
 */
final class SummaryQueue {

	/**
	 * Age at which unchanged summaries are published again; below the age at which peers
	 * expire them.
	 */
	private static final long REPUBLISH_MILLIS = 1500;

	private final Map<Integer, Published> published = new HashMap<>();

	/**
	 * Returns whether there is work that has not been published yet.
	 * @param current the current summaries by endpoint key
	 * @return {@code true} if there is new work
	 */
	boolean hasNewWork(Map<Integer, EndpointSummary> current) {
		return current.values().stream().anyMatch((each) -> urgency(each) == Urgency.NEW_WORK);
	}

	/**
	 * Returns the summaries for the next message and records them as published.
	 * @param current the current summaries by endpoint key
	 * @param maxBytes maximum encoded size of the summaries
	 * @param nowMillis the current time
	 * @return the summaries, the most urgent first
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
		List<EndpointSummary> selected = new ArrayList<>();
		int bytes = 0;
		for (EndpointSummary each : due) {
			bytes += DigestCodec.size(each);
			if (bytes > maxBytes) {
				break;
			}
			selected.add(each);
			recordPublished(each, nowMillis);
		}
		return selected;
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

		/** Until it is published, peers send more work to an endpoint that is in use. */
		NEW_WORK,

		/** Until it is published, peers avoid an endpoint that is free. */
		WORK_ENDED,

		/** Peers expire summaries that are not published again. */
		UNCHANGED

	}

}
