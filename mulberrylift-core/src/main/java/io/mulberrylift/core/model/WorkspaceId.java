package io.mulberrylift.core.model;

/**
 * Identifies a workspace on whose behalf requests are sent.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param value the published name, not blank
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

	/**
	 * Creates the identity.
	 * @throws IllegalArgumentException if the value is null or blank
	 */
	public WorkspaceId {
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException("WorkspaceId must not be blank");
		}
	}

	@Override
	public int compareTo(WorkspaceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
