package io.mulberrylift.core.limit;

import java.util.Objects;
import java.util.Optional;

/**
 * What an answer of an endpoint says about the time for which the endpoint wants no
 * requests from this instance.
 *
 * @param durationMillis the time in milliseconds, empty if the answer names none or a
 * malformed one
 * @param malformedValue the text of a malformed time, empty if there is none
 */
public record BackOffReport(Optional<Long> durationMillis, Optional<String> malformedValue) {

	/** Maximum time that one answer can name, in milliseconds. */
	public static final long MAX_MILLIS = 600_000;

	private static final BackOffReport NONE = new BackOffReport(Optional.empty(), Optional.empty());

	/**
	 * Creates the report.
	 * @throws IllegalArgumentException if the time is negative or longer than
	 * {@value #MAX_MILLIS} ms, or if there are both a time and a malformed value
	 */
	public BackOffReport {
		Objects.requireNonNull(durationMillis, "durationMillis");
		Objects.requireNonNull(malformedValue, "malformedValue");
		if (durationMillis.isPresent() && malformedValue.isPresent()) {
			throw new IllegalArgumentException("Report has both a time and the malformed value " + malformedValue);
		}
		durationMillis.ifPresent((millis) -> {
			if (millis < 0 || millis > MAX_MILLIS) {
				throw new IllegalArgumentException(
						"Time without requests must be between 0 and " + MAX_MILLIS + " ms: " + millis);
			}
		});
	}

	/**
	 * Returns the report of an answer that names no time.
	 * @return the report
	 */
	public static BackOffReport none() {
		return NONE;
	}

	/**
	 * Returns the report of an answer that names a time.
	 * @param durationMillis the time in milliseconds
	 * @return the report
	 * @throws IllegalArgumentException if the time is out of range
	 */
	public static BackOffReport of(long durationMillis) {
		return new BackOffReport(Optional.of(durationMillis), Optional.empty());
	}

	/**
	 * Returns the report of an answer whose time cannot be read or is too long.
	 * @param value text of the time
	 * @return the report
	 */
	public static BackOffReport malformed(String value) {
		return new BackOffReport(Optional.empty(), Optional.of(value));
	}

	/**
	 * Returns whether the answer names no time, not even a malformed one.
	 * @return true if it names none
	 */
	public boolean isNone() {
		return this.durationMillis.isEmpty() && this.malformedValue.isEmpty();
	}

}
