package io.mulberrylift.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Requests in progress, indexed by identity, running attempt and deadline.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Each request has exactly one timer, which ends
 * it.
 * </p>
 */
final class RequestTable {

	private final Map<Long, RequestEntry> byRequest = new HashMap<>();

	private final Map<Long, RequestEntry> byAttempt = new HashMap<>();

	private final PriorityQueue<Timer> timers = new PriorityQueue<>();

	void add(RequestEntry entry, long timerMonotonicMillis) {
		this.byRequest.put(entry.requestId(), entry);
		this.timers.add(new Timer(timerMonotonicMillis, entry.requestId()));
	}

	Optional<RequestEntry> find(long requestId) {
		return Optional.ofNullable(this.byRequest.get(requestId));
	}

	Optional<RequestEntry> findByAttempt(long attemptId) {
		return Optional.ofNullable(this.byAttempt.get(attemptId));
	}

	RequestEntry byAttemptOrNull(long attemptId) {
		return this.byAttempt.get(attemptId);
	}

	void attemptStarted(RequestEntry entry) {
		this.byAttempt.put(entry.attemptId, entry);
	}

	void attemptEnded(RequestEntry entry) {
		this.byAttempt.remove(entry.attemptId);
	}

	void remove(RequestEntry entry) {
		this.byRequest.remove(entry.requestId());
		this.byAttempt.remove(entry.attemptId);
	}

	List<RequestEntry> takeExpired(long nowMonotonicMillis) {
		List<RequestEntry> expired = new ArrayList<>();
		while (!this.timers.isEmpty() && this.timers.peek().atMonotonicMillis() <= nowMonotonicMillis) {
			find(this.timers.poll().requestId()).ifPresent(expired::add);
		}
		return expired;
	}

	long nextTimerMonotonicMillis() {
		while (!this.timers.isEmpty() && !this.byRequest.containsKey(this.timers.peek().requestId())) {
			this.timers.poll();
		}
		return this.timers.isEmpty() ? Long.MAX_VALUE : this.timers.peek().atMonotonicMillis();
	}

	Collection<RequestEntry> entries() {
		return this.byRequest.values();
	}

	int size() {
		return this.byRequest.size();
	}

	private record Timer(long atMonotonicMillis, long requestId) implements Comparable<Timer> {

		@Override
		public int compareTo(Timer other) {
			return Long.compare(this.atMonotonicMillis, other.atMonotonicMillis);
		}

	}

}
