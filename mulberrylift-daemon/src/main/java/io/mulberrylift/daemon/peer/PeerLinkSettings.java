package io.mulberrylift.daemon.peer;

/**
 * Settings of outgoing connections.
 *
 * @param connectTimeoutMillis longest time to wait for a connection, in milliseconds
 * @param firstBackoffMillis delay before the first reconnect, in milliseconds
 * @param maxBackoffMillis longest delay before a reconnect, in milliseconds
 * @param silenceMillis time without an acknowledgement after which a connection is
 * replaced, in milliseconds
 * @param queueBytes greatest size of the waiting frames to one instance, in bytes
 */
public record PeerLinkSettings(int connectTimeoutMillis, long firstBackoffMillis, long maxBackoffMillis,
		long silenceMillis, int queueBytes) {

	/** Settings for instances within one region. */
	public static final PeerLinkSettings DEFAULTS = new PeerLinkSettings(1_000, 50, 2_000, 5_000, 4 * 1_024 * 1_024);

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public PeerLinkSettings {
		if (connectTimeoutMillis < 1 || firstBackoffMillis < 1 || maxBackoffMillis < firstBackoffMillis
				|| silenceMillis < 1 || queueBytes < 1) {
			throw new IllegalArgumentException(
					"Settings of peer connections must be positive and the longest backoff not below the first");
		}
	}

}
