package io.mulberrylift.core.membership;

import java.util.LinkedHashSet;
import java.util.Set;

import io.mulberrylift.core.peer.Heartbeat;

/**
 * State of one other instance, as observed from its messages.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A process that was replaced by another process
 * of the same instance never counts as the current one again.
 * </p>
 */
final class Peer {

	private static final int MAX_FORMER_INCARNATIONS = 8;

	private static final int MIN_HEARTBEATS = 3;

	private final Set<Long> formerIncarnations = new LinkedHashSet<>();

	private long incarnation;

	private long lastReceivedMonotonicMillis;

	private long lastSequence;

	private int heartbeats;

	private boolean leaving;

	Peer(long incarnation, long nowMonotonicMillis) {
		this.incarnation = incarnation;
		this.lastReceivedMonotonicMillis = nowMonotonicMillis;
	}

	/**
	 * Records the arrival of a message.
	 * @param senderIncarnation incarnation of the process that sent it
	 * @param nowMonotonicMillis monotonic time of its arrival in milliseconds
	 * @return false if it is a delayed message of a replaced process
	 */
	boolean received(long senderIncarnation, long nowMonotonicMillis) {
		if (this.formerIncarnations.contains(senderIncarnation)) {
			return false;
		}
		if (senderIncarnation != this.incarnation) {
			replacedBy(senderIncarnation);
		}
		this.lastReceivedMonotonicMillis = nowMonotonicMillis;
		return true;
	}

	private void replacedBy(long newIncarnation) {
		this.formerIncarnations.add(this.incarnation);
		if (this.formerIncarnations.size() > MAX_FORMER_INCARNATIONS) {
			this.formerIncarnations.remove(this.formerIncarnations.iterator().next());
		}
		this.incarnation = newIncarnation;
		this.lastSequence = 0;
		this.heartbeats = 0;
		this.leaving = false;
	}

	void recordHeartbeat(Heartbeat heartbeat) {
		if (heartbeat.sequence() > this.lastSequence) {
			this.lastSequence = heartbeat.sequence();
			this.heartbeats++;
			this.leaving |= heartbeat.leaving();
		}
	}

	void resetLastReceived(long nowMonotonicMillis) {
		this.lastReceivedMonotonicMillis = nowMonotonicMillis;
	}

	boolean isOverdue(long nowMonotonicMillis, long limitMillis) {
		return this.heartbeats >= MIN_HEARTBEATS && nowMonotonicMillis - this.lastReceivedMonotonicMillis > limitMillis;
	}

	long incarnation() {
		return this.incarnation;
	}

	boolean isLeaving() {
		return this.leaving;
	}

}
