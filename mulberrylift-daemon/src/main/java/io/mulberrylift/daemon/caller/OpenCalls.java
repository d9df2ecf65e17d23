package io.mulberrylift.daemon.caller;

import java.util.Optional;

/**
 * Counts the open calls and limits their number and the memory of their bodies.
 *
 * <p>
 * Thread-safe. Neither the number of calls nor the size of their bodies exceeds its
 * limit.
 * </p>
 */
public final class OpenCalls {

	private final int maxCalls;

	private final long maxBodyBytes;

	private int calls;

	private long bodyBytes;

	/**
	 * Creates the counter.
	 * @param maxCalls maximum number of open calls, positive
	 * @param maxBodyBytes maximum total size of the bodies of open calls in bytes
	 */
	public OpenCalls(int maxCalls, long maxBodyBytes) {
		this.maxCalls = maxCalls;
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Acquires a permit for a new call.
	 * @return the permit, empty if the limit of open calls is reached
	 */
	synchronized Optional<Permit> tryAcquire() {
		if (this.calls >= this.maxCalls) {
			return Optional.empty();
		}
		this.calls++;
		return Optional.of(new Permit());
	}

	/**
	 * Returns the number of open calls.
	 * @return the number
	 */
	public synchronized int count() {
		return this.calls;
	}

	/**
	 * Returns the memory reserved for the bodies of open calls.
	 * @return the size in bytes
	 */
	public synchronized long bodyBytes() {
		return this.bodyBytes;
	}

	/**
	 * Waits until no call is open, that is until every response has been sent or aborted.
	 * @param timeoutMillis maximum wait in milliseconds
	 * @return whether no call is open; false after a timeout
	 * @throws InterruptedException if the thread is interrupted
	 */
	public synchronized boolean awaitIdle(long timeoutMillis) throws InterruptedException {
		long endNanos = System.nanoTime() + timeoutMillis * 1_000_000;
		while (this.calls > 0) {
			long remainingMillis = (endNanos - System.nanoTime()) / 1_000_000;
			if (remainingMillis <= 0) {
				return false;
			}
			wait(remainingMillis);
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
	 * Permit of one open call, with the memory reserved for its body.
	 *
	 * <p>
	 * Thread-safe.
	 * </p>
	 */
	final class Permit {

		private long reservedBytes;

		private boolean released;

		private Permit() {
		}

		/**
		 * Reserves memory for a further part of the call's body.
		 * @param sizeBytes size of the part in bytes
		 * @return false if the limit is reached or the permit has been released
		 */
		synchronized boolean tryReserve(long sizeBytes) {
			if (this.released || !OpenCalls.this.tryReserve(sizeBytes)) {
				return false;
			}
			this.reservedBytes += sizeBytes;
			return true;
		}

		/**
		 * Releases the permit and its memory. Only the first call has an effect.
		 */
		synchronized void release() {
			if (!this.released) {
				this.released = true;
				releasePermit(this.reservedBytes);
			}
		}

	}

}
