package io.mulberrylift.testkit.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounded log of the additions and evictions of a prefix cache.
 *
 * <p>
 * Invariant: the log contains the events with sequence numbers
 * {@code sequence - size + 1} to {@code sequence}. Not thread-safe.
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
	 * Appends an event, discarding the oldest one if the log is full.
	 * @param atMicros the time in microseconds
	 * @param key key of the block
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
	 * Returns the net changes after a sequence number. A number greater than the last one
	 * was issued by an earlier process; the report then starts at the oldest event.
	 * @param after sequence number of the last event known to the reader, 0 for none
	 * @param notAfterMicros maximum time of the reported events, in microseconds
	 * @return the net changes
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
