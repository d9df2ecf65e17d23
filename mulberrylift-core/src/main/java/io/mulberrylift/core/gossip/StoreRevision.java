package io.mulberrylift.core.gossip;

import java.util.Comparator;
import java.util.Objects;

/**
 * A revision of the platform's store. An epoch begins each time the store returns from an
 * older copy: numbers of the epoch before are given out again, so revisions are ordered
 * by their epochs first.
 *
 * @param epoch number of the epoch, 0 for a store that does not name one
 * @param number number of the revision within the epoch, 0 if nothing has been read
 */
public record StoreRevision(long epoch, long number) implements Comparable<StoreRevision> {

	/** Revision of an instance that has read nothing. */
	public static final StoreRevision NONE = new StoreRevision(0, 0);

	private static final Comparator<StoreRevision> ORDER = Comparator.comparingLong(StoreRevision::epoch)
		.thenComparingLong(StoreRevision::number);

	/**
	 * Creates the revision.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public StoreRevision {
		if (epoch < 0 || number < 0) {
			throw new IllegalArgumentException(
					"Epoch and number of a revision must not be negative: " + epoch + ", " + number);
		}
	}

	@Override
	public int compareTo(StoreRevision other) {
		return ORDER.compare(this, Objects.requireNonNull(other, "other"));
	}

	/**
	 * Returns whether this revision is later than another one.
	 * @param other the other revision
	 * @return {@code true} if it is later, {@code false} if they are equal
	 */
	public boolean isAfter(StoreRevision other) {
		return compareTo(other) > 0;
	}

	/**
	 * Returns the later one of this and another revision.
	 * @param other the other revision
	 * @return the later revision
	 */
	public StoreRevision latest(StoreRevision other) {
		return (other.isAfter(this)) ? other : this;
	}

	// Generated methods of records link method handles at each start; these do not.

	@Override
	public boolean equals(Object other) {
		return other instanceof StoreRevision revision && this.epoch == revision.epoch
				&& this.number == revision.number;
	}

	@Override
	public int hashCode() {
		return Long.hashCode(31 * this.epoch + this.number);
	}

	@Override
	public String toString() {
		return this.epoch + "/" + this.number;
	}

}
