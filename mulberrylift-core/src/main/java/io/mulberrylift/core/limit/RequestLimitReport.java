package io.mulberrylift.core.limit;

import java.util.Objects;
import java.util.Optional;

/**
 * What an answer of an endpoint says about the requests per second that the endpoint
 * accepts from all instances together.
 *
 * @param requestsPerSecond the limit, empty if the answer names none or a malformed one
 * @param malformedValue the text of a malformed limit, empty if there is none
 */
public record RequestLimitReport(Optional<Double> requestsPerSecond, Optional<String> malformedValue) {

	private static final RequestLimitReport UNLIMITED = new RequestLimitReport(Optional.empty(), Optional.empty());

	/**
	 * Creates the report.
	 * @throws IllegalArgumentException if the limit is negative or not finite, or if
	 * there are both a limit and a malformed value
	 */
	public RequestLimitReport {
		Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
		Objects.requireNonNull(malformedValue, "malformedValue");
		if (requestsPerSecond.isPresent() && malformedValue.isPresent()) {
			throw new IllegalArgumentException("Report has both a limit and the malformed value " + malformedValue);
		}
		requestsPerSecond.ifPresent((limit) -> {
			if (!Double.isFinite(limit) || limit < 0) {
				throw new IllegalArgumentException(
						"Limit of requests per second must be finite and not negative: " + limit);
			}
		});
	}

	/**
	 * Returns the report of an answer that names no limit.
	 * @return the report
	 */
	public static RequestLimitReport unlimited() {
		return UNLIMITED;
	}

	/**
	 * Returns the report of an answer that names a limit.
	 * @param requestsPerSecond the limit; 0 if the endpoint accepts no requests
	 * @return the report
	 * @throws IllegalArgumentException if the limit is negative or not finite
	 */
	public static RequestLimitReport of(double requestsPerSecond) {
		return new RequestLimitReport(Optional.of(requestsPerSecond), Optional.empty());
	}

	/**
	 * Returns the report of an answer whose limit cannot be read.
	 * @param value text of the limit
	 * @return the report
	 */
	public static RequestLimitReport malformed(String value) {
		return new RequestLimitReport(Optional.empty(), Optional.of(value));
	}

	/**
	 * Returns whether the answer names no limit, not even a malformed one.
	 * @return true if it names none
	 */
	public boolean isUnlimited() {
		return this.requestsPerSecond.isEmpty() && this.malformedValue.isEmpty();
	}

}
