package io.mulberrylift.core.model;

/**
 * Identifies an entry instance.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param value the published name, not blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

	/**
	 * Creates the identity.
	 * @throws IllegalArgumentException if the value is null or blank
	 */
	public InstanceId {
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException("InstanceId must not be blank");
		}
	}

	@Override
	public int compareTo(InstanceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
