package io.mulberrylift.testkit.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Queue of actions in the order of virtual time. Actions at the same time run in the
 * order in which they were scheduled.
 *
 * <p>
 * Not safe for use by several threads. Time is monotonic: an action scheduled for the
 * past runs at the current time.
 * </p>
 */
final class EventQueue {

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparingLong(Entry::atMicros).thenComparingLong(Entry::sequence));

	private long sequence;

	private long nowMicros;

	long nowMicros() {
		return this.nowMicros;
	}

	void scheduleAt(long atMicros, Runnable action) {
		this.entries.add(new Entry(Math.max(atMicros, this.nowMicros), this.sequence++, action));
	}

	void scheduleAfter(long delayMicros, Runnable action) {
		scheduleAt(this.nowMicros + delayMicros, action);
	}

	/**
	 * Runs all actions up to a time and advances the clock to it.
	 * @param endMicros the time in microseconds, inclusive
	 */
	void runUntil(long endMicros) {
		while (!this.entries.isEmpty() && this.entries.peek().atMicros <= endMicros) {
			Entry entry = this.entries.poll();
			this.nowMicros = entry.atMicros;
			entry.action.run();
		}
		this.nowMicros = Math.max(this.nowMicros, endMicros);
	}

	private record Entry(long atMicros, long sequence, Runnable action) {
	}

}
