package io.mulberrylift.core.gossip;

/**
 * Demand that one instance observes, as told to peers. Immutable.
 *
 * @param subjectHash hash of what the demand is for, such as a service and a kind of
 * request or a workspace; the part that publishes it defines the meaning
 * @param rank rank of the requests, 0 is the most urgent
 * @param workMillisPerSecond work that arrives per second, in milliseconds of one
 * endpoint
 * @param waitingMillis work that was refused lately and is expected to return, in
 * milliseconds of one endpoint
 */
public record DemandFigure(int subjectHash, int rank, long workMillisPerSecond, long waitingMillis) {

	/**
	 * Creates the figure.
	 * @throws IllegalArgumentException if a number other than the hash is negative
	 */
	public DemandFigure {
		if (rank < 0 || workMillisPerSecond < 0 || waitingMillis < 0) {
			throw new IllegalArgumentException("Demand figure must not have negative numbers");
		}
	}

}
