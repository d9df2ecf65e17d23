package io.mulberrylift.daemon.caller;

import java.util.Optional;

/**
 * Counts the calls whose connection is in use and limits their number and the memory of
 * their bodies.
 *
 * <p>
 * Safe for use by several threads. Neither number exceeds its limit.
 * </p>
 */
public final class OpenCalls {

	private final int maxCalls;

	private final long maxBodyBytes;

	private int calls;

	private long bodyBytes;

	/**
	 * Creates the counter.
	 * @param maxCalls greatest number of calls at once, positive
	 * @param maxBodyBytes most bytes of bodies at once
	 */
	public OpenCalls(int maxCalls, long maxBodyBytes) {
		this.maxCalls = maxCalls;
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Counts a call that begins.
	 * @return the permit, empty when the limit has been reached
	 */
	synchronized Optional<Permit> tryAcquire() {
		if (this.calls >= this.maxCalls) {
			return Optional.empty();
		}
		this.calls++;
		return Optional.of(new Permit());
	}

	/**
	 * Returns how many calls are open.
	 * @return the number
	 */
	public synchronized int count() {
		return this.calls;
	}

	/**
	 * Returns how many bytes of bodies are in memory.
	 * @return the number of bytes
	 */
	public synchronized long bodyBytes() {
		return this.bodyBytes;
	}

	/**
	 * Waits until no call is open: every answer has been taken by its caller.
	 * @param timeoutMillis longest wait in milliseconds
	 * @return whether no call is open
	 * @throws InterruptedException if the thread is interrupted
	 */
	public synchronized boolean awaitIdle(long timeoutMillis) throws InterruptedException {
		long endNanos = System.nanoTime() + timeoutMillis * 1_000_000;
		while (this.calls > 0) {
			long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
			if (leftMillis <= 0) {
				return false;
			}
			wait(leftMillis);
		}
		return true;
	}

	private synchronized boolean tryReserve(long sizeBytes) {
		if (this.bodyBytes + sizeBytes > this.maxBodyBytes) {
			return false;
		}
		this.bodyBytes += sizeBytes;
		return true;
	}

	private synchronized void releasePermit(long reservedBytes) {
		this.bodyBytes -= reservedBytes;
		this.calls--;
		notifyAll();
	}

	/**
	 * The share of one call.
	 *
	 * <p>
	 * Safe for use by several threads.
	 * </p>
	 */
	final class Permit {

		private long reservedBytes;

		private boolean released;

		private Permit() {
		}

		/**
		 * Reserves memory for a part of the call's body.
		 * @param sizeBytes size of the part in bytes
		 * @return false when the limit has been reached or the permit was given back
		 */
		synchronized boolean tryReserve(long sizeBytes) {
			if (this.released || !OpenCalls.this.tryReserve(sizeBytes)) {
				return false;
			}
			this.reservedBytes += sizeBytes;
			return true;
		}

		/**
		 * Gives the share back. Only the first call has an effect.
		 */
		synchronized void release() {
			if (!this.released) {
				this.released = true;
				releasePermit(this.reservedBytes);
			}
		}

	}

}
