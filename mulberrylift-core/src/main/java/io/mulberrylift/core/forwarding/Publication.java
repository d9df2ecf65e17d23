package io.mulberrylift.core.forwarding;

/**
 * When an observation was and will be published to peers.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class Publication {

	/** Interval between the prompt publications of an observation. */
	private static final long PROMPT_INTERVAL_MILLIS = 300;

	private int promptLeft;

	private long promptMillis;

	private long lastMillis = Long.MIN_VALUE / 2;

	/**
	 * Requests prompt publications, since messages may be lost.
	 * @param count how often to publish the observation
	 * @param nowMillis the current time
	 */
	void request(int count, long nowMillis) {
		this.promptLeft = Math.max(this.promptLeft, count);
		this.promptMillis = nowMillis;
	}

	boolean isPromptDue(long nowMillis) {
		return this.promptLeft > 0 && nowMillis >= this.promptMillis;
	}

	boolean isPromptRequested() {
		return this.promptLeft > 0;
	}

	long lastMillis() {
		return this.lastMillis;
	}

	void published(long nowMillis) {
		this.promptLeft = Math.max(0, this.promptLeft - 1);
		this.promptMillis = nowMillis + PROMPT_INTERVAL_MILLIS;
		this.lastMillis = nowMillis;
	}

}
