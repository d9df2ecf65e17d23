package io.mulberrylift.daemon.caller;

/**
 * Names of the headers by which callers steer their requests.
 */
public final class CallerHeaders {

	/** Name of the profile. */
	public static final String PROFILE = "Mulberrylift-Profile";

	/** Name of the workspace. */
	public static final String WORKSPACE = "Mulberrylift-Workspace";

	/** Time from now within which the request must end, in milliseconds. */
	public static final String DEADLINE = "Mulberrylift-Deadline-Millis";

	/** The idempotency key. */
	public static final String KEY = "Idempotency-Key";

	/** Time of the first send of a key that carries none, in milliseconds since 1970. */
	public static final String FIRST_SENT = "Mulberrylift-First-Sent";

	/** The credential. */
	public static final String AUTHORIZATION = "Authorization";

	private CallerHeaders() {
	}

}
