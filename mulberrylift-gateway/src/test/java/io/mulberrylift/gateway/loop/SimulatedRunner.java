package io.mulberrylift.gateway.loop;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

	/** Time after which an instance must keep a limit that it was told. */
	private static final long TOLD_MILLIS = 500;

	ForwardEndpoint endpoint;

	private final List<Arrival> arrivals = new ArrayList<>();

	/** When each instance received its first answer with a limit. */
	private final Map<String, Long> toldMillis = new HashMap<>();

	/** What happens to each attempt in progress if the endpoint ends. */
	private final Map<String, Runnable> inProgress = new LinkedHashMap<>();

	private boolean ended;

	private Optional<Double> limit = Optional.empty();

	private long firstNamedMillis = Long.MAX_VALUE;

	private double maxExcess = Double.NEGATIVE_INFINITY;

	private double maxExcessOfTold = Double.NEGATIVE_INFINITY;

	SimulatedRunner(ForwardEndpoint endpoint) {
		this.endpoint = endpoint;
	}

	void begin(String attempt, Runnable broken) {
		this.inProgress.put(attempt, broken);
	}

	void complete(String attempt) {
		this.inProgress.remove(attempt);
	}

	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Ends the endpoint, which accepts no connections from now on.
	 * @return what happens to the attempts in progress
	 */
	List<Runnable> end() {
		this.ended = true;
		return List.copyOf(this.inProgress.values());
	}

	/**
	 * Starts to name a limit, changes it or ends it.
	 */
	void setLimit(Optional<Double> requestsPerSecond) {
		boolean looser = requestsPerSecond.isPresent() && this.limit.isPresent()
				&& requestsPerSecond.get() >= this.limit.get();
		if (!looser) {
			this.firstNamedMillis = Long.MAX_VALUE;
			this.toldMillis.clear();
		}
		this.limit = requestsPerSecond;
	}

	/**
	 * Counts a request and returns what its answer says about the limit.
	 */
	RequestLimitReport arrive(String instance, long nowMillis) {
		this.arrivals.add(new Arrival(instance, nowMillis));
		if (this.limit.isEmpty()) {
			return RequestLimitReport.unlimited();
		}
		if (nowMillis - this.firstNamedMillis >= CONTACT_MILLIS) {
			check(nowMillis);
		}
		this.firstNamedMillis = Math.min(this.firstNamedMillis, nowMillis);
		return RequestLimitReport.of(this.limit.get());
	}

	/**
	 * Records that an instance received an answer with a limit.
	 */
	void tell(String instance, long nowMillis) {
		this.toldMillis.putIfAbsent(instance, nowMillis);
	}

	private void check(long nowMillis) {
		long fromMillis = Math.max(nowMillis - WINDOW_MILLIS, this.firstNamedMillis + CONTACT_MILLIS);
		double allowed = 1.5 * WINDOW_MILLIS / 1000 * this.limit.get() + 5;
		List<Arrival> counted = this.arrivals.stream().filter((arrival) -> arrival.millis() > fromMillis).toList();
		this.maxExcess = Math.max(this.maxExcess, counted.size() - allowed);
		this.maxExcessOfTold = Math.max(this.maxExcessOfTold, counted.stream().filter(this::isTold).count() - allowed);
	}

	private boolean isTold(Arrival arrival) {
		Long told = this.toldMillis.get(arrival.instance());
		return told != null && arrival.millis() - told >= TOLD_MILLIS;
	}

	/**
	 * Returns by how many requests of all instances the limit was exceeded at most.
	 * @return a negative number if it was kept with room to spare
	 */
	double maxExcess() {
		return this.maxExcess;
	}

	/**
	 * Returns by how many requests the limit was exceeded at most, counting only
	 * instances that had received an answer with it.
	 * @return a negative number if it was kept with room to spare
	 */
	double maxExcessOfTold() {
		return this.maxExcessOfTold;
	}

	/**
	 * Returns the number of requests that arrived from a time on.
	 */
	long arrivedSince(long millis) {
		return this.arrivals.stream().filter((arrival) -> arrival.millis() >= millis).count();
	}

	/**
	 * Returns the number of requests that arrived in a period.
	 */
	long arrivedBetween(long fromMillis, long toMillis) {
		return this.arrivals.stream()
			.filter((arrival) -> arrival.millis() >= fromMillis && arrival.millis() < toMillis)
			.count();
	}

	/**
	 * Returns the maximum number of requests that arrived in any one second of a period.
	 */
	long maxInOneSecond(long fromMillis, long toMillis) {
		List<Long> times = this.arrivals.stream()
			.map(Arrival::millis)
			.filter((millis) -> millis >= fromMillis && millis < toMillis)
			.toList();
		int max = 0;
		int first = 0;
		for (int last = 0; last < times.size(); last++) {
			while (times.get(last) - times.get(first) > 1000) {
				first++;
			}
			max = Math.max(max, last - first + 1);
		}
		return max;
	}

	private record Arrival(String instance, long millis) {
	}

}
