package io.mulberrylift.core.fleet;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.time.Moment;

/**
 * Polls the load of every listed endpoint at a fixed interval, with at most one read per
 * endpoint in progress.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Endpoints of the instance's own zone are polled
 * more often than others.
 * </p>
 */
public final class LoadPolling {

	private static final long OWN_ZONE_INTERVAL_MILLIS = 500;

	private static final long OTHER_ZONE_INTERVAL_MILLIS = 1_000;

	private final FleetState fleet;

	/**
	 * Creates the part.
	 * @param fleet the shared fleet state
	 */
	public LoadPolling(FleetState fleet) {
		this.fleet = fleet;
	}

	/**
	 * Starts the reads that are due.
	 * @param now the current time
	 * @param effects receives the reads
	 */
	public void tick(Moment now, Effects effects) {
		for (EndpointState endpoint : this.fleet.endpoints()) {
			if (endpoint.isLoadReadDue(now.monotonicMillis())) {
				endpoint.loadReadSent(now.monotonicMillis() + intervalMillis(endpoint));
				effects.add(new EndpointEffect.ReadLoad(endpoint.id()));
			}
		}
	}

	private long intervalMillis(EndpointState endpoint) {
		boolean ownZone = endpoint.description().zone().equals(this.fleet.self().zone());
		return ownZone ? OWN_ZONE_INTERVAL_MILLIS : OTHER_ZONE_INTERVAL_MILLIS;
	}

	/**
	 * Handles a load report. Reports of endpoints that are not listed are ignored.
	 * @param event the report
	 * @return whether the endpoint's process has restarted since its last report
	 */
	public boolean reported(EndpointEvent.LoadReported event) {
		return this.fleet.endpoint(event.endpoint()).map((endpoint) -> {
			endpoint.loadReadEnded();
			return endpoint.recordReport(event.report(), event.at().monotonicMillis());
		}).orElse(false);
	}

	/**
	 * Handles a failed read. An endpoint that is known to be unreachable gets no work
	 * until a read succeeds.
	 * @param event the failure
	 */
	public void unreachable(EndpointEvent.Unreachable event) {
		this.fleet.endpoint(event.endpoint()).ifPresent((endpoint) -> {
			endpoint.loadReadEnded();
			endpoint.loadReadFailed(event.connectionRefused());
			if (event.connectionRefused() && endpoint.circuitBreaker().isClosed()) {
				endpoint.circuitBreaker().unreachable(event.at().monotonicMillis());
			}
		});
	}

}
