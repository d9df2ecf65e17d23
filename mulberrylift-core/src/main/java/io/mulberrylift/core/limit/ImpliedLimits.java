package io.mulberrylift.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.mulberrylift.core.model.EndpointId;

/**
 * Limits of requests per second that endpoints do not name themselves but that follow
 * from their state, and this instance's shares of them. They are divided as named limits
 * are.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Unlike those of a named limit, shares are kept
 * within any single second: an instance saves up little more than one request, so that
 * all instances together send at most one request per share in a second. An instance
 * without a share sends none. Shares begin at different phases, so that the rate is used
 * from the beginning without all of them sending together.
 * </p>
 */
final class ImpliedLimits {

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Share of what may be saved up while no request waits. With 1, an instance could
	 * send one request more than it has shares if two of them were a moment early.
	 */
	private static final double SAVED_SHARE = 0.5;

	private final Map<EndpointId, Implied> limits = new HashMap<>();

	private FleetView fleet;

	ImpliedLimits(FleetView fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
	}

	void setFleet(FleetView current, long nowMillis) {
		this.fleet = current;
		this.limits.forEach((endpoint, implied) -> updateShare(endpoint, implied, nowMillis));
	}

	/**
	 * Begins a limit or changes its rate. One with the same rate goes on.
	 * @param endpoint the endpoint
	 * @param zone availability zone of the endpoint
	 * @param perSecond rate of the entire fleet
	 * @param nowMillis the current time
	 */
	void begin(EndpointId endpoint, String zone, double perSecond, long nowMillis) {
		Implied known = this.limits.get(endpoint);
		if (known != null && known.perSecond == perSecond) {
			return;
		}
		Implied implied = (known != null) ? known : new Implied(zone);
		implied.perSecond = perSecond;
		this.limits.put(endpoint, implied);
		updateShare(endpoint, implied, nowMillis);
		if (known == null) {
			implied.pacer.setTokens(this.fleet.phase(endpoint.value()));
		}
	}

	void end(EndpointId endpoint) {
		this.limits.remove(endpoint);
	}

	private void updateShare(EndpointId endpoint, Implied implied, long nowMillis) {
		int held = this.fleet.heldShares(endpoint.value(), implied.zone, implied.perSecond);
		double sharePerSecond = implied.perSecond / FleetView.shareCount(implied.perSecond);
		double maxTokens = (held > 0) ? 1 + SAVED_SHARE * held * (1 - sharePerSecond) : 0;
		implied.pacer.setRate(held * sharePerSecond, maxTokens, nowMillis);
	}

	boolean isLimited(EndpointId endpoint) {
		return this.limits.containsKey(endpoint);
	}

	boolean mayUse(EndpointId endpoint, long nowMillis) {
		Implied implied = this.limits.get(endpoint);
		return implied == null || implied.pacer.isDue(nowMillis);
	}

	void recordRequest(EndpointId endpoint, long nowMillis) {
		Implied implied = this.limits.get(endpoint);
		if (implied != null) {
			implied.pacer.record(nowMillis);
		}
	}

	/**
	 * Returns the time until an endpoint accepts a request: one of this instance if it
	 * holds a share, otherwise one of any instance.
	 * @param endpoint the endpoint
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 for an endpoint without a limit
	 */
	long acceptsInMillis(EndpointId endpoint, long nowMillis) {
		Implied implied = this.limits.get(endpoint);
		if (implied == null) {
			return 0;
		}
		long ownMillis = implied.pacer.dueInMillis(nowMillis);
		return (ownMillis < Long.MAX_VALUE) ? ownMillis : (long) (MILLIS_PER_SECOND / implied.perSecond);
	}

	void retain(Collection<EndpointId> listed) {
		this.limits.keySet().retainAll(listed);
	}

	private static final class Implied {

		private final String zone;

		private final RequestPacer pacer = new RequestPacer();

		private double perSecond;

		Implied(String zone) {
			this.zone = zone;
		}

	}

}
