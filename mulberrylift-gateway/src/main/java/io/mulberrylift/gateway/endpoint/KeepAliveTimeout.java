package io.mulberrylift.gateway.endpoint;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * How long a connection may be idle and still be used for another request.
 */
final class KeepAliveTimeout {

	/** Used when the endpoint states no time, in milliseconds. */
	static final long DEFAULT_MILLIS = 900;

	/**
	 * Share of the stated time that is used: a request must not cross the endpoint's
	 * close.
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
