package io.mulberrylift.core.cost;

/**
 * When a request is expected to be complete at an endpoint, and what this rests on.
 * Immutable.
 *
 * @param cost cost of the choice: 0 at an idle endpoint of usual pace, 1 more for each
 * time that all slots of the endpoint are taken
 * @param waitMillis expected time until a slot is free
 * @param totalMillis expected time until the answer is complete; 0 if nothing is known
 * @param paceFactor factor of the endpoint's times
 * @param observations number of recent observations of such requests, 0 if nothing is
 * known
 * @param ageMillis time since the last of them
 */
public record CompletionEstimate(double cost, double waitMillis, double totalMillis, double paceFactor,
		long observations, long ageMillis) {

	/**
	 * Returns the estimate while nothing is known: the least loaded endpoint is the best.
	 * @param slotsInUse number of requests at the endpoint
	 * @param slots number of requests that it runs concurrently
	 * @return the estimate
	 */
	static CompletionEstimate unknown(int slotsInUse, int slots) {
		return new CompletionEstimate((double) slotsInUse / slots, 0, 0, 1, 0, 0);
	}

	/**
	 * Returns when a slot is expected to be free, as peers are told.
	 * @param sentMillis when the request is sent
	 * @return the time
	 */
	public long startMillis(long sentMillis) {
		return sentMillis + (long) this.waitMillis;
	}

	/**
	 * Returns when the answer is expected to be complete, as peers are told.
	 * @param sentMillis when the request is sent
	 * @return the time; that of sending if nothing is known
	 */
	public long endMillis(long sentMillis) {
		return sentMillis + (long) this.totalMillis;
	}

}
