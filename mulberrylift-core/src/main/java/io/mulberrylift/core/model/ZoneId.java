package io.mulberrylift.core.model;

/**
 * Identifies an availability zone.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param value the published name, not blank
 */
public record ZoneId(String value) implements Comparable<ZoneId> {

	/**
	 * Creates the identity.
	 * @throws IllegalArgumentException if the value is null or blank
	 */
	public ZoneId {
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException("ZoneId must not be blank");
		}
	}

	@Override
	public int compareTo(ZoneId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
