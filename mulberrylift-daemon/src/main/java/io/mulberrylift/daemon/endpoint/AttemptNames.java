package io.mulberrylift.daemon.endpoint;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import io.mulberrylift.core.fleet.InstanceIdentity;

/**
 * Names of attempts as engines know them. Names are unique for all time because an
 * incarnation is never used twice.
 */
final class AttemptNames {

	private AttemptNames() {
	}

	/**
	 * Returns the name of an attempt.
	 * @param identity the process that sends it
	 * @param attemptId the attempt
	 * @return the name
	 */
	static String of(InstanceIdentity identity, long attemptId) {
		return identity.id() + "/" + identity.incarnation() + "/" + attemptId;
	}

	/**
	 * Encodes text as one path segment.
	 * @param segment the text
	 * @return the percent-encoded segment
	 */
	static String encodePathSegment(String segment) {
		return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
	}

}
