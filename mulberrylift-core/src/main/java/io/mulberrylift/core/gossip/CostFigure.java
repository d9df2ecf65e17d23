package io.mulberrylift.core.gossip;

/**
 * A learned quantity, as told to peers. Immutable.
 *
 * @param subjectHash hash of what the quantity belongs to, such as a service or an
 * endpoint
 * @param quantity code of the quantity; the part that learns it defines the codes
 * @param value the estimate in the unit of the quantity
 * @param weight number of observations that the estimate rests on
 */
public record CostFigure(int subjectHash, int quantity, long value, long weight) {

	/**
	 * Creates the figure.
	 * @throws IllegalArgumentException if a number other than the hash is negative
	 */
	public CostFigure {
		if (quantity < 0 || value < 0 || weight < 0) {
			throw new IllegalArgumentException("Cost figure must not have negative numbers");
		}
	}

}
