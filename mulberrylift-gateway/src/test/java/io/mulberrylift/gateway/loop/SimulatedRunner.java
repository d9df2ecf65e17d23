package io.mulberrylift.gateway.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.limit.RequestLimitReport;

/**
 * An endpoint in virtual time that may name a limit of requests and counts the requests
 * of all instances.
 */
final class SimulatedRunner {

	/** Length of the windows in which requests are counted. */
	private static final long WINDOW_MILLIS = 4000;

	/** Time after the first answer with a limit from which the limit must be kept. */
	private static final long CONTACT_MILLIS = 3000;

	final ForwardEndpoint endpoint;

	private final List<Long> arrivalMillis = new ArrayList<>();

	private Optional<Double> limit = Optional.empty();

	private long limitedSinceMillis = Long.MAX_VALUE;

	private long firstNamedMillis = Long.MAX_VALUE;

	/** First violation of the limit. */
	private Optional<String> violation = Optional.empty();

	SimulatedRunner(ForwardEndpoint endpoint) {
		this.endpoint = endpoint;
	}

	/**
	 * Starts to name a limit, changes it or ends it.
	 */
	void setLimit(Optional<Double> requestsPerSecond, long nowMillis) {
		boolean looser = requestsPerSecond.isPresent() && this.limit.isPresent()
				&& requestsPerSecond.get() >= this.limit.get();
		if (!looser) {
			this.firstNamedMillis = Long.MAX_VALUE;
		}
		this.limit = requestsPerSecond;
		this.limitedSinceMillis = (requestsPerSecond.isPresent()) ? nowMillis : Long.MAX_VALUE;
	}

	/**
	 * Counts a request and returns what its answer says about the limit.
	 */
	RequestLimitReport arrive(long nowMillis) {
		this.arrivalMillis.add(nowMillis);
		if (this.limit.isEmpty()) {
			return RequestLimitReport.unlimited();
		}
		if (nowMillis - this.firstNamedMillis >= CONTACT_MILLIS) {
			check(nowMillis);
		}
		this.firstNamedMillis = Math.min(this.firstNamedMillis, nowMillis);
		return RequestLimitReport.of(this.limit.get());
	}

	private void check(long nowMillis) {
		long counted = this.arrivalMillis.stream()
			.filter((arrived) -> arrived > Math.max(nowMillis - WINDOW_MILLIS, this.firstNamedMillis + CONTACT_MILLIS))
			.count();
		double allowed = 1.5 * WINDOW_MILLIS / 1000 * this.limit.get() + 5;
		if (counted > allowed && this.violation.isEmpty()) {
			this.violation = Optional
				.of(this.endpoint.id() + " named " + this.limit.get() + " a second at " + this.limitedSinceMillis
						+ " ms and got " + counted + " requests in 4 s at " + nowMillis + " ms, allowed " + allowed);
		}
	}

	Optional<String> violation() {
		return this.violation;
	}

	/**
	 * Returns the number of requests that arrived from a time on.
	 */
	long arrivedSince(long millis) {
		return this.arrivalMillis.stream().filter((arrived) -> arrived >= millis).count();
	}

}
