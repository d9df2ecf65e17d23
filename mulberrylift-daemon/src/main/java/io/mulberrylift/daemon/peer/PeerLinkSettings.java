package io.mulberrylift.daemon.peer;

/**
 * Settings of outgoing connections.
 *
 * @param connectTimeoutMillis connect timeout in milliseconds
 * @param initialBackoffMillis delay before the first reconnect, in milliseconds
 * @param maxBackoffMillis maximum delay before a reconnect, in milliseconds
 * @param acknowledgementTimeoutMillis time without an acknowledgement after which a
 * connection is replaced, in milliseconds
 * @param maxQueueBytes maximum total size of the frames queued for one instance, in bytes
 */
public record PeerLinkSettings(int connectTimeoutMillis, long initialBackoffMillis, long maxBackoffMillis,
		long acknowledgementTimeoutMillis, int maxQueueBytes) {

	/** Settings for instances within one region. */
	public static final PeerLinkSettings DEFAULTS = new PeerLinkSettings(1_000, 50, 2_000, 5_000, 4 * 1_024 * 1_024);

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public PeerLinkSettings {
		if (connectTimeoutMillis < 1 || initialBackoffMillis < 1 || maxBackoffMillis < initialBackoffMillis
				|| acknowledgementTimeoutMillis < 1 || maxQueueBytes < 1) {
			throw new IllegalArgumentException(
					"Settings of peer connections must be positive and the maximum backoff at least the initial one");
		}
	}

}
