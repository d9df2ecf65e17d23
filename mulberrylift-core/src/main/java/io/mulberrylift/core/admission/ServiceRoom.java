package io.mulberrylift.core.admission;

/**
 * Room of a service as known to this instance. Immutable.
 *
 * @param places number of requests or engines that work at the same time: each gives
 * 1,000 ms of work per second
 * @param backlogMillis work that waits there, in milliseconds of one place
 * @param slotsInUse slots of its endpoints that are in use
 * @param slots slots of its endpoints
 * @param waiting whether a request waits at any of its endpoints
 */
public record ServiceRoom(int places, double backlogMillis, int slotsInUse, int slots, boolean waiting) {

	/**
	 * Returns the time for which new work waits on average.
	 * @return the time in milliseconds
	 */
	double waitMillis() {
		return this.backlogMillis / Math.max(1, this.places);
	}

	/**
	 * Returns whether a refusal can be justified: half of the slots or more are in use,
	 * or something waits.
	 * @return false if the service has room for any request
	 */
	boolean isBusy() {
		return this.waiting || 2 * this.slotsInUse >= this.slots;
	}

}
