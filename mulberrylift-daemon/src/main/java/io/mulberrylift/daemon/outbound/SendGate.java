package io.mulberrylift.daemon.outbound;

import java.util.function.LongSupplier;

/**
 * Decides whether a request may still leave and remembers whether it may have left.
 *
 * <p>
 * Safe for use by several threads. Once closed without having been passed, no byte of the
 * request leaves.
 * </p>
 */
public final class SendGate {

	private final LongSupplier monotonicMillis;

	private final long notAfterMonotonicMillis;

	private boolean passed;

	private boolean closed;

	/**
	 * Creates an open gate.
	 * @param monotonicMillis the monotonic clock in milliseconds
	 * @param notAfterMonotonicMillis latest time for the first byte to leave
	 */
	public SendGate(LongSupplier monotonicMillis, long notAfterMonotonicMillis) {
		this.monotonicMillis = monotonicMillis;
		this.notAfterMonotonicMillis = notAfterMonotonicMillis;
	}

	/**
	 * Passes the gate just before the first byte leaves.
	 * @throws SendGateClosedException if the gate is closed, was passed before or the
	 * time is over
	 */
	synchronized void pass() throws SendGateClosedException {
		if (this.passed || this.closed || this.monotonicMillis.getAsLong() > this.notAfterMonotonicMillis) {
			this.closed = true;
			throw new SendGateClosedException();
		}
		this.passed = true;
	}

	/**
	 * Closes the gate.
	 * @return whether bytes may have left
	 */
	public synchronized boolean close() {
		this.closed = true;
		return this.passed;
	}

}
