package io.mulberrylift.core.gossip;

/**
 * Whether an instance reads the platform's store itself.
 */
public enum StoreReading {

	/** Reads, for itself and its peers. */
	PRIMARY(600),

	/**
	 * Reads because no peer was answered lately. The whole fleet may do so at the same
	 * time, therefore the store is asked less often.
	 */
	FALLBACK(2500),

	/** Follows peers. */
	NONE(0);

	private final long maxRetryDelayMillis;

	StoreReading(long maxRetryDelayMillis) {
		this.maxRetryDelayMillis = maxRetryDelayMillis;
	}

	/**
	 * Returns whether the store is read.
	 * @return false if peers are followed
	 */
	public boolean reads() {
		return this != NONE;
	}

	/**
	 * Returns the maximum delay between two calls of the store while calls fail.
	 * @return the delay in milliseconds
	 */
	public long maxRetryDelayMillis() {
		return this.maxRetryDelayMillis;
	}

}
