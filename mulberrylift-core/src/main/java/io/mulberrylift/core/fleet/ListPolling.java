package io.mulberrylift.core.fleet;

import java.util.Set;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.time.Moment;

/**
 * Polls the instance list at a fixed interval.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A failed read leaves the last list in effect. A
 * read that has not been answered when the next one is due is repeated, and the read
 * after that is delayed to 5 seconds.
 * </p>
 */
public final class ListPolling {

	private static final long INTERVAL_MILLIS = 1_000;

	private static final long ANSWER_TIMEOUT_MILLIS = 5_000;

	private final FleetState fleet;

	private boolean readPending;

	private long nextReadMonotonicMillis = Long.MIN_VALUE;

	/**
	 * Creates the part.
	 * @param fleet the shared fleet state
	 */
	public ListPolling(FleetState fleet) {
		this.fleet = fleet;
	}

	/**
	 * Starts a read when one is due.
	 * @param now the current time
	 * @param effects receives the read
	 */
	public void tick(Moment now, Effects effects) {
		if (now.monotonicMillis() >= this.nextReadMonotonicMillis) {
			long intervalMillis = this.readPending ? ANSWER_TIMEOUT_MILLIS : INTERVAL_MILLIS;
			this.readPending = true;
			this.nextReadMonotonicMillis = now.monotonicMillis() + intervalMillis;
			effects.add(new PlatformEffect.ReadList());
		}
	}

	/**
	 * Handles a list that has been read.
	 * @param event the list
	 * @return the endpoints that are no longer listed
	 */
	public Set<EndpointId> read(PlatformEvent.ListRead event) {
		this.readPending = false;
		return this.fleet.update(event.list());
	}

	/**
	 * Handles a failed read.
	 */
	public void failed() {
		this.readPending = false;
	}

}
