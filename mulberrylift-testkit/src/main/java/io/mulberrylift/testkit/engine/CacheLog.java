package io.mulberrylift.testkit.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounded log of additions and evictions in a prefix cache.
 *
 * <p>
 * Invariant: the log holds the events with the numbers {@code sequence - size + 1} to
 * {@code sequence}. Not safe for use by several threads.
 * </p>
 */
final class CacheLog {

	private final long[] keys;

	private final boolean[] additions;

	private final long[] timesMicros;

	private long sequence;

	CacheLog(int capacityEvents) {
		this.keys = new long[capacityEvents];
		this.additions = new boolean[capacityEvents];
		this.timesMicros = new long[capacityEvents];
	}

	/**
	 * Appends an event and drops the oldest one when the log is full.
	 * @param atMicros the time
	 * @param key the block
	 * @param addition true for an addition, false for an eviction
	 */
	void append(long atMicros, long key, boolean addition) {
		int slot = slot(this.sequence + 1);
		this.keys[slot] = key;
		this.additions[slot] = addition;
		this.timesMicros[slot] = atMicros;
		this.sequence++;
	}

	/**
	 * Returns the net changes after a number. A number above the last one comes from a
	 * reader of an earlier process and is answered from the oldest event on.
	 * @param after number of the last event that the reader knows, 0 for none
	 * @param notAfterMicros time of the latest event to report
	 * @return the changes
	 */
	CacheReport read(long after, long notAfterMicros) {
		long oldest = Math.max(1, this.sequence - this.keys.length + 1);
		long known = (after <= this.sequence) ? after : 0;
		long from = Math.max(known + 1, oldest);
		Map<Long, Boolean> net = new LinkedHashMap<>();
		long last = from - 1;
		for (long number = from; number <= this.sequence; number++) {
			int slot = slot(number);
			if (this.timesMicros[slot] > notAfterMicros) {
				break;
			}
			net.put(this.keys[slot], this.additions[slot]);
			last = number;
		}
		boolean complete = known == after && known + 1 >= oldest;
		return new CacheReport(last, complete, select(net, true), select(net, false));
	}

	private static long[] select(Map<Long, Boolean> net, boolean addition) {
		return net.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == addition)
			.mapToLong(Map.Entry::getKey)
			.toArray();
	}

	private int slot(long number) {
		return (int) (number % this.keys.length);
	}

}
