package io.mulberrylift.daemon.settings;

/**
 * Limits on what callers may send.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param maxBodyBytes largest accepted body in bytes
 * @param maxTotalBodyBytes most bytes of bodies in memory at once
 * @param maxHeaderBytes most bytes of the headers of a request
 * @param maxConcurrentCallers most requests in progress
 * @param bodyTimeoutMillis time within which a whole body must arrive, in milliseconds
 * @param idleTimeoutMillis time after which a connection without traffic is closed, in
 * milliseconds
 */
public record LimitSettings(int maxBodyBytes, long maxTotalBodyBytes, int maxHeaderBytes, int maxConcurrentCallers,
		long bodyTimeoutMillis, long idleTimeoutMillis) {

	/** Values used when the settings name none. */
	public static final LimitSettings DEFAULTS = new LimitSettings(0, 0, 0, 0, 0, 0);

	/**
	 * Creates the settings. Absent values, 0, take their defaults.
	 */
	public LimitSettings {
		maxBodyBytes = (maxBodyBytes != 0) ? maxBodyBytes : 8 * 1_024 * 1_024;
		maxTotalBodyBytes = (maxTotalBodyBytes != 0) ? maxTotalBodyBytes : 256L * 1_024 * 1_024;
		maxHeaderBytes = (maxHeaderBytes != 0) ? maxHeaderBytes : 16 * 1_024;
		maxConcurrentCallers = (maxConcurrentCallers != 0) ? maxConcurrentCallers : 4_000;
		bodyTimeoutMillis = (bodyTimeoutMillis != 0) ? bodyTimeoutMillis : 15_000;
		idleTimeoutMillis = (idleTimeoutMillis != 0) ? idleTimeoutMillis : 30_000;
	}

}
