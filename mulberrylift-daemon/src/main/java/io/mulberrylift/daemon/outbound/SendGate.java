package io.mulberrylift.daemon.outbound;

import java.util.function.LongSupplier;

/**
 * Decides whether a request may still be sent and records whether bytes of it may have
 * been sent.
 *
 * <p>
 * Safe for use by several threads. If the gate is closed before it has been passed, no
 * byte of the request is sent.
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
	 * @param notAfterMonotonicMillis latest monotonic time at which the first byte may be
	 * sent, in milliseconds
	 */
	public SendGate(LongSupplier monotonicMillis, long notAfterMonotonicMillis) {
		this.monotonicMillis = monotonicMillis;
		this.notAfterMonotonicMillis = notAfterMonotonicMillis;
	}

	/**
	 * Passes the gate; called just before the first byte is sent.
	 * @throws SendGateClosedException if the gate is closed, has been passed before or
	 * the latest sending time has been exceeded
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
	 * @return whether the gate had been passed, so that bytes may have been sent
	 */
	public synchronized boolean close() {
		this.closed = true;
		return this.passed;
	}

}
