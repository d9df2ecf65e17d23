package io.mulberrylift.gateway.endpoint;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Determines how long an idle connection may be used for another request.
 */
final class KeepAliveTimeout {

	/** Used if the endpoint states no timeout. */
	static final long DEFAULT_MILLIS = 900;

	/**
	 * Share of the stated timeout that is used, so that a request is not sent while the
	 * endpoint closes the connection.
	 */
	private static final double USED_SHARE = 0.6;

	private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

	private static final int MILLIS_PER_SECOND = 1000;

	private KeepAliveTimeout() {
	}

	static long millis(HttpResponse response) {
		String stated = response.headers().get("Keep-Alive", "");
		Matcher matcher = TIMEOUT.matcher(stated);
		return (matcher.find()) ? (long) (Integer.parseInt(matcher.group(1)) * MILLIS_PER_SECOND * USED_SHARE)
				: DEFAULT_MILLIS;
	}

}
