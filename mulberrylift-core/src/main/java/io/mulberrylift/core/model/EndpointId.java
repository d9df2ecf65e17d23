package io.mulberrylift.core.model;

/**
 * Identifies an endpoint: the runner of a model engine or of a plain service.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param value the published name, not blank
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

	/**
	 * Creates the identity.
	 * @throws IllegalArgumentException if the value is null or blank
	 */
	public EndpointId {
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException("EndpointId must not be blank");
		}
	}

	@Override
	public int compareTo(EndpointId other) {
		return this.value.compareTo(other.value);
	}

	// Generated methods of records link method handles at each start; these do not.

	@Override
	public boolean equals(Object other) {
		return other instanceof EndpointId id && this.value.equals(id.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
