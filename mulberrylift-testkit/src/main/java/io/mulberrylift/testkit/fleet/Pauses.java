package io.mulberrylift.testkit.fleet;

import java.io.InterruptedIOException;

/**
 * Waits between two looks at a condition.
 */
final class Pauses {

	private Pauses() {
	}

	/**
	 * Waits.
	 * @param millis how long, in milliseconds
	 * @throws InterruptedIOException if the thread is interrupted
	 */
	static void sleep(long millis) throws InterruptedIOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("Interrupted while waiting");
		}
	}

}
