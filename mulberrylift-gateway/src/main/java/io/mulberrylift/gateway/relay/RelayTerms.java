package io.mulberrylift.gateway.relay;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.mulberrylift.gateway.caller.BadRequestException;

/**
 * What an instance that hands a request to a peer leaves to it.
 *
 * @param timeLeftMillis time left for the answer
 * @param attemptsLeft number of endpoints that the peer may send the request to
 */
record RelayTerms(long timeLeftMillis, int attemptsLeft) {

	/** Header of a request that contains the terms. */
	static final String HEADER = "Mulberrylift-Relay";

	/** Header of an answer that no endpoint sent, with its cause. */
	static final String REFUSAL_HEADER = "Mulberrylift-Relay-Refusal";

	private static final int BAD_REQUEST = 400;

	private static final Pattern FORMAT = Pattern.compile("(\\d{1,9}),(\\d{1,4})");

	/**
	 * Parses the value of the header.
	 * @param value the value, null if the header is missing
	 * @return the terms
	 * @throws BadRequestException if the value is missing or malformed
	 */
	static RelayTerms parse(String value) throws BadRequestException {
		Matcher matcher = FORMAT.matcher((value != null) ? value : "");
		if (!matcher.matches()) {
			throw new BadRequestException(BAD_REQUEST,
					"Header " + HEADER + " must contain the remaining milliseconds and attempts, joined by a comma");
		}
		return new RelayTerms(Long.parseLong(matcher.group(1)), Integer.parseInt(matcher.group(2)));
	}

	String headerValue() {
		return this.timeLeftMillis + "," + this.attemptsLeft;
	}

}
