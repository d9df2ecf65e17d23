package io.mulberrylift.core.placement;

/**
 * Load that an endpoint reported in an answer.
 *
 * @param running number of requests that it runs
 * @param waiting number of requests in its queue
 * @param slots number of requests that it can run concurrently
 */
public record ObservedLoad(int running, int waiting, int slots) {

	/**
	 * Creates the load.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public ObservedLoad {
		if (running < 0 || waiting < 0 || slots < 0) {
			throw new IllegalArgumentException("Endpoint load must not be negative");
		}
	}

}
