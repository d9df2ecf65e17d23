package io.mulberrylift.daemon.outbound;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The complete response to an outbound call.
 *
 * <p>
 * Immutable by convention: callers must not modify the body.
 * </p>
 *
 * @param status the HTTP status
 * @param headers all headers by lower-case name
 * @param body the body, empty for none
 */
public record HttpReply(int status, Map<String, List<String>> headers, byte[] body) {

	/**
	 * Finds the first value of a header.
	 * @param lowerCaseName name of the header in lower case
	 * @return the value, empty when the header is absent
	 */
	public Optional<String> header(String lowerCaseName) {
		List<String> values = this.headers.get(lowerCaseName);
		return (values != null) ? Optional.of(values.get(0)) : Optional.empty();
	}

}
