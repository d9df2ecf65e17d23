package io.mulberrylift.daemon.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Bounded queue of frames that wait to be written to one instance.
 *
 * <p>
 * Not safe for use by several threads. Holds at most the given number of bytes and at
 * most one heartbeat.
 * </p>
 */
final class OutgoingQueue {

	private final int maxBytes;

	private final Deque<OutgoingFrame> frames = new ArrayDeque<>();

	private int sizeBytes;

	OutgoingQueue(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Adds a frame. If the queue is full, the oldest frames of droppable kinds are
	 * dropped; if this does not free enough space, the new frame is dropped. A heartbeat
	 * replaces a queued one.
	 * @param frame the frame
	 * @return the number of dropped frames, not counting replaced heartbeats
	 */
	int add(OutgoingFrame frame) {
		if (frame.kind() == PeerMessageKind.HEARTBEAT) {
			removeHeartbeats();
		}
		int dropped = makeRoom(frame.body().length);
		if (this.sizeBytes + frame.body().length > this.maxBytes) {
			return dropped + 1;
		}
		this.frames.add(frame);
		this.sizeBytes += frame.body().length;
		return dropped;
	}

	private void removeHeartbeats() {
		Iterator<OutgoingFrame> iterator = this.frames.iterator();
		while (iterator.hasNext()) {
			OutgoingFrame frame = iterator.next();
			if (frame.kind() == PeerMessageKind.HEARTBEAT) {
				iterator.remove();
				this.sizeBytes -= frame.body().length;
			}
		}
	}

	private int makeRoom(int neededBytes) {
		int dropped = 0;
		Iterator<OutgoingFrame> iterator = this.frames.iterator();
		while (this.sizeBytes + neededBytes > this.maxBytes && iterator.hasNext()) {
			OutgoingFrame frame = iterator.next();
			if (frame.kind().droppable()) {
				iterator.remove();
				this.sizeBytes -= frame.body().length;
				dropped++;
			}
		}
		return dropped;
	}

	/**
	 * Removes the oldest frame.
	 * @return the frame, null when the queue is empty
	 */
	OutgoingFrame poll() {
		OutgoingFrame frame = this.frames.poll();
		if (frame != null) {
			this.sizeBytes -= frame.body().length;
		}
		return frame;
	}

	boolean isEmpty() {
		return this.frames.isEmpty();
	}

	/**
	 * A queued frame.
	 *
	 * @param kind kind of its message
	 * @param body the encoded message
	 */
	record OutgoingFrame(PeerMessageKind kind, byte[] body) {
	}

}
