package io.mulberrylift.testkit.fleet;

import java.io.InterruptedIOException;

/**
 * Sleeps between the polls of a condition.
 */
final class Pauses {

	private Pauses() {
	}

	/**
	 * Sleeps, and restores the interrupt status if interrupted.
	 * @param millis duration in milliseconds
	 * @throws InterruptedIOException if the thread is interrupted
	 */
	static void sleep(long millis) throws InterruptedIOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("Interrupted while sleeping");
		}
	}

}
