package io.mulberrylift.core.forwarding;

/**
 * Terms on which an instance hands a request to a peer.
 *
 * @param attemptsLeft number of endpoints that the peer may send the request to
 * @param configurationVersion version of the configuration that the peer must have at
 * least
 */
public record RelayTerms(int attemptsLeft, long configurationVersion) {

	/**
	 * Creates the terms.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public RelayTerms {
		if (attemptsLeft < 0 || configurationVersion < 0) {
			throw new IllegalArgumentException("Attempts and version of relay terms must not be negative");
		}
	}

}
