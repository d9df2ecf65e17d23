package io.mulberrylift.daemon.process;

import java.util.concurrent.Callable;

/**
 * Waits for conditions.
 */
final class Conditions {

	private static final long LIMIT_MILLIS = 60_000;

	private static final long POLL_MILLIS = 20;

	private Conditions() {
	}

	static void await(String what, Callable<Boolean> condition) throws Exception {
		long endMillis = System.currentTimeMillis() + LIMIT_MILLIS;
		while (!condition.call()) {
			if (System.currentTimeMillis() > endMillis) {
				throw new AssertionError("Not seen within " + LIMIT_MILLIS + " ms: " + what);
			}
			Thread.sleep(POLL_MILLIS);
		}
	}

}
