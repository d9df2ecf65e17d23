package io.mulberrylift.core.gossip;

/**
 * What an instance knows of the instances that may read the platform's store for it.
 *
 * @param sharing whether the fleet is large enough to share readers, and all of its
 * members that were heard lately can do so
 * @param instancesAhead number of instances of the own zone that were heard lately, are
 * not failing and come before this instance in the order of readers
 * @param confirmedAgeMillis age of the latest answer of the store to an instance whose
 * view is not newer than that of this instance
 */
public record StoreReaders(boolean sharing, int instancesAhead, long confirmedAgeMillis) {

	/**
	 * Creates the view.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public StoreReaders {
		if (instancesAhead < 0 || confirmedAgeMillis < 0) {
			throw new IllegalArgumentException(
					"Numbers must not be negative: " + instancesAhead + ", " + confirmedAgeMillis);
		}
	}

}
