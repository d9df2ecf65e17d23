package io.mulberrylift.core.promise;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Queue of actions in virtual time. Actions that are due at the same time run in the
 * order in which they were scheduled.
 */
final class VirtualTime {

	private final PriorityQueue<Action> queue = new PriorityQueue<>(
			Comparator.comparingLong(Action::atMillis).thenComparingLong(Action::order));

	private long nowMillis = 1_000_000;

	private long nextOrder;

	long nowMillis() {
		return this.nowMillis;
	}

	void schedule(long delayMillis, Runnable action) {
		this.queue.add(new Action(this.nowMillis + delayMillis, this.nextOrder++, action));
	}

	void runFor(long durationMillis) {
		long endMillis = this.nowMillis + durationMillis;
		while (!this.queue.isEmpty() && this.queue.peek().atMillis() <= endMillis) {
			Action next = this.queue.poll();
			this.nowMillis = next.atMillis();
			next.action().run();
		}
		this.nowMillis = endMillis;
	}

	private record Action(long atMillis, long order, Runnable action) {
	}

}
