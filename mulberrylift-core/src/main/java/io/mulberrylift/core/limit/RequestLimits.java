package io.mulberrylift.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.gossip.EndpointLimit;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Limits of requests per second that endpoints name in their answers for all instances
 * together, and this instance's shares of them.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Answers may overtake each other. An own answer
 * that lowers a limit is applied at once; one that raises or ends it is applied only if
 * its request was sent after the last report was received, and so is every report of a
 * peer. An instance without a share sends a request only after a random time without any
 * report, so that the end of a limit is noticed even if the holders of its shares are
 * gone. Limits that follow from the state of an endpoint hold besides.
 * </p>
 */
public final class RequestLimits {

	/**
	 * Minimum rate of all instances together: without any request, the end of a limit
	 * would not be noticed.
	 */
	private static final double MIN_PER_SECOND = 0.1;

	/** Minimum time without a report after which an instance without a share sends. */
	private static final long TRIAL_DELAY_MILLIS = 20_000;

	/** Random addition to that time for each instance of the fleet. */
	private static final long TRIAL_SPREAD_MILLIS = 1000;

	/** Minimum number of instances assumed while the fleet is not known completely. */
	private static final int MIN_INCOMPLETE_INSTANCES = 100;

	/** Maximum age of a report that is published to or accepted from peers. */
	private static final long MAX_REPORT_AGE_MILLIS = 10_000;

	/**
	 * Maximum error of the age of a peer's report, due to the time it takes to arrive.
	 */
	private static final long AGE_TOLERANCE_MILLIS = 50;

	private static final double MILLIS_PER_SECOND = 1000;

	private final RandomGenerator random;

	private final Map<EndpointId, NamedLimit> limits = new HashMap<>();

	/** Last malformed value by endpoint. */
	private final Map<EndpointId, String> malformedValues = new HashMap<>();

	private final ImpliedLimits implied;

	private FleetView fleet;

	/**
	 * Creates an empty table.
	 * @param fleet the instances that share the limits
	 * @param random source of randomness for the times of trials
	 */
	public RequestLimits(FleetView fleet, RandomGenerator random) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		this.random = Objects.requireNonNull(random, "random");
		this.implied = new ImpliedLimits(fleet);
	}

	/**
	 * Sets the instances that share the limits.
	 * @param current the instances
	 * @param nowMillis the current time
	 */
	public void setFleet(FleetView current, long nowMillis) {
		if (!current.equals(this.fleet)) {
			this.fleet = current;
			this.limits.forEach((endpoint, named) -> updateShare(endpoint, named, nowMillis));
			this.implied.setFleet(current, nowMillis);
		}
	}

	/**
	 * Limits the requests to an endpoint by its state, in addition to what its answers
	 * name. All instances together send at most one request per share in any second.
	 * @param endpoint the endpoint
	 * @param zone availability zone of the endpoint
	 * @param perSecond rate of the entire fleet
	 * @param nowMillis the current time
	 */
	public void imply(EndpointId endpoint, String zone, double perSecond, long nowMillis) {
		this.implied.begin(endpoint, zone, perSecond, nowMillis);
	}

	/**
	 * Ends a limit that followed from the state of an endpoint.
	 * @param endpoint the endpoint
	 */
	public void endImplied(EndpointId endpoint) {
		this.implied.end(endpoint);
	}

	/**
	 * Returns whether a limit follows from the state of an endpoint.
	 * @param endpoint the endpoint
	 * @return true until it ends
	 */
	public boolean isImplied(EndpointId endpoint) {
		return this.implied.isLimited(endpoint);
	}

	/**
	 * Applies what an answer says about the limit of its endpoint.
	 * @param endpoint the endpoint
	 * @param zone availability zone of the endpoint
	 * @param report the report of the answer; a malformed one changes nothing
	 * @param sentMillis when the request of the answer was sent; if it is empty, the
	 * report can only lower the limit
	 * @param nowMillis the current time
	 * @return the change, empty if the limit is as before
	 */
	public Optional<LimitChange> apply(EndpointId endpoint, String zone, RequestLimitReport report,
			Optional<Long> sentMillis, long nowMillis) {
		Optional<Double> limit = report.requestsPerSecond().map(EndpointLimit::rounded);
		Optional<Double> before = limit(endpoint);
		if (report.malformedValue().isPresent() || (limit.isEmpty() && before.isEmpty())) {
			return Optional.empty();
		}
		NamedLimit known = this.limits.get(endpoint);
		boolean lowers = limit.isPresent() && (before.isEmpty() || limit.get() < before.get());
		boolean sentAfterReport = known == null || sentMillis.filter((sent) -> sent > known.reportedMillis).isPresent();
		if (!lowers && !sentAfterReport) {
			return Optional.empty();
		}
		long publishedSentMillis = Math.max(sentMillis.orElse(nowMillis), nowMillis - MAX_REPORT_AGE_MILLIS);
		return put(endpoint, zone, limit, publishedSentMillis, nowMillis, nowMillis);
	}

	/**
	 * Applies a peer's report of a limit.
	 * @param endpoint the endpoint
	 * @param zone availability zone of the endpoint
	 * @param reported the report
	 * @param nowMillis the current time
	 * @return the change, empty if the limit is as before
	 */
	public Optional<LimitChange> applyFromPeer(EndpointId endpoint, String zone, EndpointLimit reported,
			long nowMillis) {
		NamedLimit known = this.limits.get(endpoint);
		long sentMillis = nowMillis - reported.ageMillis();
		boolean news = (known != null) ? sentMillis > known.reportedMillis + AGE_TOLERANCE_MILLIS
				: reported.requestsPerSecond().isPresent();
		if (!news || reported.ageMillis() > MAX_REPORT_AGE_MILLIS) {
			return Optional.empty();
		}
		return put(endpoint, zone, reported.requestsPerSecond(), sentMillis, sentMillis, nowMillis);
	}

	private Optional<LimitChange> put(EndpointId endpoint, String zone, Optional<Double> limit, long sentMillis,
			long reportedMillis, long nowMillis) {
		Optional<Double> before = limit(endpoint);
		NamedLimit named = this.limits.computeIfAbsent(endpoint, (id) -> new NamedLimit(zone));
		named.limit = limit;
		named.sentMillis = sentMillis;
		named.reportedMillis = reportedMillis;
		named.trialMillis = nowMillis + trialDelayMillis();
		if (before.equals(limit)) {
			return Optional.empty();
		}
		updateShare(endpoint, named, nowMillis);
		return Optional.of(new LimitChange(before, limit));
	}

	private long trialDelayMillis() {
		int known = this.fleet.zones().size() * this.fleet.zoneInstances().size();
		int instances = (this.fleet.complete()) ? known : Math.max(known, MIN_INCOMPLETE_INSTANCES);
		return TRIAL_DELAY_MILLIS + this.random.nextLong(instances * TRIAL_SPREAD_MILLIS);
	}

	private void updateShare(EndpointId endpoint, NamedLimit named, long nowMillis) {
		if (named.limit.isEmpty()) {
			// Requests without a limit must not count against the next one.
			named.pacer.setRate(0, 0, nowMillis);
			return;
		}
		double perSecond = Math.max(MIN_PER_SECOND, named.limit.get());
		int held = this.fleet.heldShares(endpoint.value(), named.zone, perSecond);
		named.pacer.setRate(perSecond * held / FleetView.shareCount(perSecond), held, nowMillis);
	}

	/**
	 * Records a malformed limit.
	 * @param endpoint the endpoint
	 * @param value text of the limit
	 * @return true if it differs from the endpoint's previous malformed limit
	 */
	public boolean recordMalformed(EndpointId endpoint, String value) {
		return !value.equals(this.malformedValues.put(endpoint, value));
	}

	/**
	 * Returns whether this instance may send a request to an endpoint now.
	 * @param endpoint the endpoint
	 * @param nowMillis the current time
	 * @return true if there is no limit or this instance's share has room
	 */
	public boolean mayUse(EndpointId endpoint, long nowMillis) {
		NamedLimit named = this.limits.get(endpoint);
		return this.implied.mayUse(endpoint, nowMillis) && (named == null || named.limit.isEmpty()
				|| named.pacer.isDue(nowMillis) || nowMillis >= named.trialMillis);
	}

	/**
	 * Records a request to an endpoint, also one for which the share had no room.
	 * @param endpoint the endpoint
	 * @param nowMillis the current time
	 */
	public void recordRequest(EndpointId endpoint, long nowMillis) {
		this.implied.recordRequest(endpoint, nowMillis);
		NamedLimit named = this.limits.get(endpoint);
		if (named != null) {
			named.pacer.record(nowMillis);
			named.trialMillis = nowMillis + trialDelayMillis();
		}
	}

	/**
	 * Returns the time until an endpoint with a limit accepts a request: one of this
	 * instance if it holds a share, otherwise one of any instance.
	 * @param endpoint the endpoint
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 for an endpoint without a limit
	 */
	public long acceptsInMillis(EndpointId endpoint, long nowMillis) {
		long impliedMillis = this.implied.acceptsInMillis(endpoint, nowMillis);
		NamedLimit named = this.limits.get(endpoint);
		if (named == null || named.limit.isEmpty()) {
			return impliedMillis;
		}
		long ownMillis = named.pacer.dueInMillis(nowMillis);
		return Math.max(impliedMillis, (ownMillis < Long.MAX_VALUE) ? ownMillis
				: (long) (MILLIS_PER_SECOND / Math.max(MIN_PER_SECOND, named.limit.get())));
	}

	/**
	 * Returns the limit of an endpoint.
	 * @param endpoint the endpoint
	 * @return requests per second, empty if the endpoint names no limit
	 */
	public Optional<Double> limit(EndpointId endpoint) {
		return Optional.ofNullable(this.limits.get(endpoint)).flatMap((named) -> named.limit);
	}

	/**
	 * Returns all limits, for operators.
	 * @return requests per second by endpoint
	 */
	public Map<EndpointId, Double> all() {
		Map<EndpointId, Double> all = new TreeMap<>();
		this.limits.forEach((endpoint, named) -> named.limit.ifPresent((limit) -> all.put(endpoint, limit)));
		return all;
	}

	/**
	 * Returns recent reports to publish to peers, the least recently published first.
	 * @param maxCount maximum number of reports
	 * @param nowMillis the current time
	 * @return the reports
	 */
	public List<EndpointLimit> pollPublished(int maxCount, long nowMillis) {
		List<EndpointLimit> published = new ArrayList<>();
		this.limits.entrySet()
			.stream()
			.filter((entry) -> nowMillis - entry.getValue().sentMillis <= MAX_REPORT_AGE_MILLIS)
			.sorted(Comparator.comparingLong((entry) -> entry.getValue().publishedMillis))
			.limit(maxCount)
			.forEach((entry) -> {
				entry.getValue().publishedMillis = nowMillis;
				published.add(new EndpointLimit(WorkTable.hash(entry.getKey()), entry.getValue().limit,
						nowMillis - entry.getValue().sentMillis));
			});
		return published;
	}

	/**
	 * Removes ended limits that are no longer published.
	 * @param nowMillis the current time
	 */
	public void expire(long nowMillis) {
		this.limits.values()
			.removeIf((named) -> named.limit.isEmpty() && nowMillis - named.sentMillis > MAX_REPORT_AGE_MILLIS);
	}

	/**
	 * Removes the limits of endpoints that are no longer listed.
	 * @param listed the listed endpoints
	 */
	public void retain(Collection<EndpointId> listed) {
		this.limits.keySet().retainAll(listed);
		this.implied.retain(listed);
		this.malformedValues.keySet().retainAll(listed);
	}

	/**
	 * Removes the limit of an endpoint whose process has started again.
	 * @param endpoint the endpoint
	 */
	public void forget(EndpointId endpoint) {
		this.limits.remove(endpoint);
		this.malformedValues.remove(endpoint);
	}

	/**
	 * A change of an endpoint's limit.
	 *
	 * @param before requests per second before, empty for no limit
	 * @param after requests per second now, empty for no limit
	 */
	public record LimitChange(Optional<Double> before, Optional<Double> after) {
	}

	private static final class NamedLimit {

		private final String zone;

		private final RequestPacer pacer = new RequestPacer();

		/** Empty once the limit has ended. */
		private Optional<Double> limit = Optional.empty();

		/** When the request of the last report was sent. */
		private long sentMillis;

		/** When the last report was received. */
		private long reportedMillis;

		/** From when on a request may be sent without a share. */
		private long trialMillis;

		private long publishedMillis = Long.MIN_VALUE / 2;

		NamedLimit(String zone) {
			this.zone = zone;
		}

	}

}
