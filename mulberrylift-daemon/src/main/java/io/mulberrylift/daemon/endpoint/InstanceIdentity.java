package io.mulberrylift.daemon.endpoint;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

import io.mulberrylift.core.model.InstanceId;

/**
 * The identity under which this process sends tries.
 *
 * <p>
 * Immutable. Names of tries are unique for all time because an incarnation is never used
 * twice.
 * </p>
 *
 * @param instance this instance
 * @param incarnation incarnation of this process
 */
public record InstanceIdentity(InstanceId instance, long incarnation) {

	/**
	 * Creates the identity.
	 * @throws NullPointerException if the instance is null
	 */
	public InstanceIdentity {
		Objects.requireNonNull(instance, "instance");
	}

	/**
	 * Returns the name of a try.
	 * @param attemptId the try
	 * @return the name that engines know
	 */
	String attemptName(long attemptId) {
		return this.instance + "/" + this.incarnation + "/" + attemptId;
	}

	/**
	 * Encodes text as one path segment.
	 * @param segment the text
	 * @return the percent-encoded segment
	 */
	static String encode(String segment) {
		return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
	}

}
