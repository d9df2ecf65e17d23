package io.mulberrylift.core.forwarding;

/**
 * Order in which an endpoint takes waiting requests, by how soon their first byte is due.
 */
enum SendRank {

	/** Due within half a second. */
	URGENT(500, 1),

	/** Due within two seconds. */
	NORMAL(2000, 4),

	/** Due later. */
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
