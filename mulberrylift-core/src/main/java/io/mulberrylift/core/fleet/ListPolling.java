package io.mulberrylift.core.fleet;

import java.util.Set;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.time.Moment;

/**
 * Reads the instance list at a steady rate, with at most one read under way.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. A list that cannot be read
 * leaves the last one in force.
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
	 * @param fleet the shared state
	 */
	public ListPolling(FleetState fleet) {
		this.fleet = fleet;
	}

	/**
	 * Starts a read when it is due.
	 * @param now the current time
	 * @param effects takes the read
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
	 * Takes a list.
	 * @param event the list
	 * @return the endpoints that are listed no more
	 */
	public Set<EndpointId> read(PlatformEvent.ListRead event) {
		this.readPending = false;
		return this.fleet.update(event.list());
	}

	/**
	 * Takes a failed read.
	 */
	public void failed() {
		this.readPending = false;
	}

}
