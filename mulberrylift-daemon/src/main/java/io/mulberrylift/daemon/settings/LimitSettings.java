package io.mulberrylift.daemon.settings;

/**
 * Limits on callers' requests and connections.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param maxBodyBytes largest accepted request body in bytes
 * @param maxTotalBodyBytes largest total size in bytes of all request bodies in memory
 * @param maxHeaderBytes largest total size in bytes of a request's headers
 * @param maxConcurrentCallers largest number of requests in progress
 * @param bodyTimeoutMillis time within which the complete body must arrive, in
 * milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record LimitSettings(int maxBodyBytes, long maxTotalBodyBytes, int maxHeaderBytes, int maxConcurrentCallers,
		long bodyTimeoutMillis, long idleTimeoutMillis) {

	/** Values used when the settings have no limits. */
	public static final LimitSettings DEFAULTS = new LimitSettings(0, 0, 0, 0, 0, 0);

	/**
	 * Creates the settings. Absent values are 0 and take their defaults.
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
