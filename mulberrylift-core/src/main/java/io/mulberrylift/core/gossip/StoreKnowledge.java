package io.mulberrylift.core.gossip;

import java.util.Objects;

/**
 * How an instance learns of changes in the platform's store, and how old the latest
 * answer of the store is that its view accounts for.
 *
 * @param role how it learns of changes
 * @param confirmedAgeMillis age of the latest answer of the store, to this instance or to
 * a peer whose view it has, at most {@value #UNCONFIRMED_MILLIS}
 */
public record StoreKnowledge(StoreRole role, long confirmedAgeMillis) {

	/** Age of the latest answer if there was none, or none for so long. */
	public static final long UNCONFIRMED_MILLIS = 600_000;

	/**
	 * Creates the knowledge. A greater age is reduced to {@value #UNCONFIRMED_MILLIS}.
	 * @throws IllegalArgumentException if the age is negative
	 */
	public StoreKnowledge {
		Objects.requireNonNull(role, "role");
		if (confirmedAgeMillis < 0) {
			throw new IllegalArgumentException("confirmedAgeMillis must not be negative: " + confirmedAgeMillis);
		}
		confirmedAgeMillis = Math.min(confirmedAgeMillis, UNCONFIRMED_MILLIS);
	}

	/**
	 * Returns this knowledge with an answer that a peer's view accounts for.
	 * @param ageMillis age of that answer
	 * @return the knowledge with the lower age
	 */
	public StoreKnowledge confirmedBy(long ageMillis) {
		return new StoreKnowledge(this.role, Math.min(this.confirmedAgeMillis, ageMillis));
	}

}
