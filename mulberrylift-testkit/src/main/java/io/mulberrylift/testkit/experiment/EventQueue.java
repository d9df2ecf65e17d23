package io.mulberrylift.testkit.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Actions in the order of virtual time, first come first served at the same time.
 *
 * <p>
 * Not safe for use by several threads. Time never goes back.
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
	 * Runs the actions up to a time.
	 * @param endMicros time of the last action to run
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
