package io.mulberrylift.core.forwarding;

/**
 * Priority of a waiting request at an endpoint, by its target for the time to the first
 * byte.
 */
enum SendRank {

	/** First byte due within half a second. */
	URGENT(500, 1),

	/** First byte due within two seconds. */
	NORMAL(2000, 4),

	/** First byte due later. */
	RELAXED(Long.MAX_VALUE, 6);

	private final long maxTargetMillis;

	private final int value;

	SendRank(long maxTargetMillis, int value) {
		this.maxTargetMillis = maxTargetMillis;
		this.value = value;
	}

	static SendRank of(long targetMillis) {
		for (SendRank rank : values()) {
			if (targetMillis <= rank.maxTargetMillis) {
				return rank;
			}
		}
		return RELAXED;
	}

	int value() {
		return this.value;
	}

}
