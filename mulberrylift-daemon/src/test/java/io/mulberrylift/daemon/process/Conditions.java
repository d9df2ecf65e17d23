package io.mulberrylift.daemon.process;

import java.util.concurrent.Callable;

/**
 * Polls conditions until they hold.
 */
final class Conditions {

	private static final long TIMEOUT_MILLIS = 60_000;

	private static final long POLL_INTERVAL_MILLIS = 20;

	private Conditions() {
	}

	static void await(String description, Callable<Boolean> condition) throws Exception {
		long endMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
		while (!condition.call()) {
			if (System.currentTimeMillis() > endMillis) {
				throw new AssertionError("Condition not met within " + TIMEOUT_MILLIS + " ms: " + description);
			}
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
	}

}
