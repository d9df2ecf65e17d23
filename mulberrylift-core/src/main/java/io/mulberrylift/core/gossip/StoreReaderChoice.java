package io.mulberrylift.core.gossip;

/**
 * Decides whether an instance reads the platform's store itself or follows its peers, so
 * that the number of calls does not grow with the fleet.
 *
 * <p>
 * In each zone, the first {@value #READERS_PER_ZONE} instances in the order of a
 * rendezvous hash read the store; an instance that is no longer heard or not answered
 * leaves its place to the next. Every instance reads while it knows nothing, in small
 * fleets, beside instances of a build that cannot share readers, and when no answer of
 * the store has been confirmed by its peers for {@value #MAX_CONFIRMED_AGE_MILLIS} ms.
 * Not thread-safe; owned by one event loop.
 * </p>
 */
public final class StoreReaderChoice {

	/** Number of instances of a zone that read the store. */
	public static final int READERS_PER_ZONE = 3;

	/**
	 * Age of the latest confirmed answer from which an instance reads the store itself,
	 * in milliseconds: a watch waits 2 s, and full states are sent at least every 2.4 s.
	 */
	public static final long MAX_CONFIRMED_AGE_MILLIS = 5000;

	/** Time for which an instance must not be needed as a reader to stop reading. */
	private static final long STOP_DELAY_MILLIS = 1000;

	private StoreReading reading = StoreReading.PRIMARY;

	private long neededMillis = Long.MIN_VALUE;

	/**
	 * Updates the decision.
	 * @param readers what is known of the peers
	 * @param viewComplete whether this instance has read everything once
	 * @param nowMillis the current time
	 * @return whether this instance reads the store
	 */
	public StoreReading update(StoreReaders readers, boolean viewComplete, long nowMillis) {
		StoreReading needed = needed(readers, viewComplete);
		if (needed.reads() || this.neededMillis == Long.MIN_VALUE) {
			this.neededMillis = nowMillis;
		}
		if (needed.reads() || nowMillis - this.neededMillis >= STOP_DELAY_MILLIS) {
			this.reading = needed;
		}
		return this.reading;
	}

	private static StoreReading needed(StoreReaders readers, boolean viewComplete) {
		if (!readers.sharing() || !viewComplete || readers.instancesAhead() < READERS_PER_ZONE) {
			return StoreReading.PRIMARY;
		}
		return (readers.confirmedAgeMillis() > MAX_CONFIRMED_AGE_MILLIS) ? StoreReading.FALLBACK : StoreReading.NONE;
	}

}
