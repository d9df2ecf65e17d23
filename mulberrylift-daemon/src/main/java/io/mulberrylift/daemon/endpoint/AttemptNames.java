package io.mulberrylift.daemon.endpoint;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import io.mulberrylift.core.fleet.InstanceIdentity;

/**
 * Names that identify attempts to engines. A name is never reused because an incarnation
 * is never reused.
 */
final class AttemptNames {

	private AttemptNames() {
	}

	/**
	 * Builds the name of an attempt.
	 * @param identity identity of the instance that sends the attempt
	 * @param attemptId the attempt
	 * @return the name
	 */
	static String of(InstanceIdentity identity, long attemptId) {
		return identity.id() + "/" + identity.incarnation() + "/" + attemptId;
	}

	/**
	 * Percent-encodes text as one path segment.
	 * @param segment the text
	 * @return the percent-encoded segment
	 */
	static String encodePathSegment(String segment) {
		return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
	}

}
