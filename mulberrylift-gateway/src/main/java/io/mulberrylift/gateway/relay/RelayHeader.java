package io.mulberrylift.gateway.relay;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.mulberrylift.core.forwarding.RelayTerms;
import io.mulberrylift.gateway.caller.BadRequestException;

/**
 * Value of the header of a request that an instance hands to a peer.
 *
 * @param timeLeftMillis time left for the answer
 * @param terms terms for the peer
 */
record RelayHeader(long timeLeftMillis, RelayTerms terms) {

	static final String NAME = "Mulberrylift-Relay";

	/** Header of an answer that no endpoint sent, with its cause. */
	static final String REFUSAL_NAME = "Mulberrylift-Relay-Refusal";

	private static final int BAD_REQUEST = 400;

	private static final Pattern FORMAT = Pattern.compile("(\\d{1,9}),(\\d{1,4}),(\\d{1,18})");

	/**
	 * Parses the value.
	 * @param value the value, null if the header is missing
	 * @return the header
	 * @throws BadRequestException if the value is missing or malformed
	 */
	static RelayHeader parse(String value) throws BadRequestException {
		Matcher matcher = FORMAT.matcher((value != null) ? value : "");
		if (!matcher.matches()) {
			throw new BadRequestException(BAD_REQUEST, "Header " + NAME
					+ " must contain the remaining milliseconds, the remaining attempts and the configuration version, joined by commas");
		}
		return new RelayHeader(Long.parseLong(matcher.group(1)),
				new RelayTerms(Integer.parseInt(matcher.group(2)), Long.parseLong(matcher.group(3))));
	}

	String value() {
		return this.timeLeftMillis + "," + this.terms.attemptsLeft() + "," + this.terms.configurationVersion();
	}

}
