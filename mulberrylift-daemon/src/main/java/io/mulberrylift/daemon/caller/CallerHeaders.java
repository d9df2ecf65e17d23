package io.mulberrylift.daemon.caller;

/**
 * Names of the request headers that callers set.
 */
public final class CallerHeaders {

	/** Name of the profile. */
	public static final String PROFILE = "Mulberrylift-Profile";

	/** Name of the workspace. */
	public static final String WORKSPACE = "Mulberrylift-Workspace";

	/** Time within which the request must end, in milliseconds from its arrival. */
	public static final String DEADLINE = "Mulberrylift-Deadline-Millis";

	/** The idempotency key. */
	public static final String KEY = "Idempotency-Key";

	/**
	 * Time of the first send under a key that contains no time, in milliseconds since the
	 * epoch.
	 */
	public static final String FIRST_SENT = "Mulberrylift-First-Sent";

	/** The workspace's credential as a bearer token. */
	public static final String AUTHORIZATION = "Authorization";

	private CallerHeaders() {
	}

}
