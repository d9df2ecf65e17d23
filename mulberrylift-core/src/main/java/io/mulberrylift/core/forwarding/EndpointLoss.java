package io.mulberrylift.core.forwarding;

/**
 * The loss of an endpoint, as it counts against one attribute of requests.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class EndpointLoss {

	/**
	 * Losses of the same endpoint that are reported with a smaller difference in time are
	 * the same one; a process takes longer to start again.
	 */
	private static final long SAME_LOSS_MILLIS = 1000;

	private final int endpointHash;

	private final long millis;

	private final Publication publication = new Publication();

	EndpointLoss(int endpointHash, long millis) {
		this.endpointHash = endpointHash;
		this.millis = millis;
	}

	int endpointHash() {
		return this.endpointHash;
	}

	long millis() {
		return this.millis;
	}

	Publication publication() {
		return this.publication;
	}

	boolean isSameAs(EndpointLoss other) {
		return this.endpointHash == other.endpointHash && Math.abs(this.millis - other.millis) < SAME_LOSS_MILLIS;
	}

}
