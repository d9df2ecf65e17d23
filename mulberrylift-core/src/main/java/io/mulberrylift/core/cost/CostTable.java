package io.mulberrylift.core.cost;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Learned distributions of durations by route and by service, and the paces of endpoints.
 *
 * <p>
 * Not thread-safe. At most {@value #MAX_ENTRIES} of each kind are held; those used least
 * recently are forgotten first.
 * </p>
 */
final class CostTable {

	static final int MAX_ENTRIES = 512;

	/** Number of observations from which a distribution is used. */
	static final double MIN_OBSERVATIONS = 5;

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<Integer, DurationSketch> byRoute = bounded();

	private final Map<Integer, DurationSketch> byService = bounded();

	/** Ratios of durations to the expected ones, by service. */
	private final Map<Integer, DurationSketch> ratios = bounded();

	private final Map<Integer, EndpointPace> paces = bounded();

	private static <V> Map<Integer, V> bounded() {
		return new LinkedHashMap<>(16, LOAD_FACTOR, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Integer, V> eldest) {
				return size() > MAX_ENTRIES;
			}

		};
	}

	void recordTime(CostSubject subject, int bucket, double observations, long nowMillis) {
		this.byRoute.computeIfAbsent(subject.routeKey(), (key) -> new DurationSketch())
			.record(bucket, observations, nowMillis);
		this.byService.computeIfAbsent(subject.serviceKey(), (key) -> new DurationSketch())
			.record(bucket, observations, nowMillis);
	}

	void recordRatio(CostSubject subject, int bucket, long nowMillis) {
		this.ratios.computeIfAbsent(subject.serviceKey(), (key) -> new DurationSketch()).record(bucket, 1, nowMillis);
	}

	Optional<DurationSketch> ratios(CostSubject subject) {
		return usable(this.ratios.get(subject.serviceKey()));
	}

	void recordPace(int endpointHash, double logRatio, double logVariance, double observations, long nowMillis) {
		this.paces.computeIfAbsent(endpointHash, (key) -> new EndpointPace())
			.record(logRatio, logVariance, observations, nowMillis);
	}

	/**
	 * Returns the distribution for a route, or that of its service while the route has
	 * been observed too seldom.
	 * @param subject the route
	 * @return the distribution, empty if nothing is known
	 */
	Optional<DurationSketch> times(CostSubject subject) {
		return usable(this.byRoute.get(subject.routeKey())).or(() -> serviceTimes(subject));
	}

	Optional<DurationSketch> serviceTimes(CostSubject subject) {
		return usable(this.byService.get(subject.serviceKey()));
	}

	private static Optional<DurationSketch> usable(DurationSketch sketch) {
		return Optional.ofNullable(sketch).filter((each) -> each.weight() >= MIN_OBSERVATIONS);
	}

	double paceFactor(int endpointHash, long nowMillis) {
		EndpointPace pace = this.paces.get(endpointHash);
		return (pace != null) ? pace.factor(nowMillis) : 1;
	}

	void retainPaces(Collection<Integer> endpointHashes) {
		this.paces.keySet().retainAll(endpointHashes);
	}

	void forgetPace(int endpointHash) {
		this.paces.remove(endpointHash);
	}

	int size() {
		return this.byRoute.size() + this.byService.size() + this.ratios.size() + this.paces.size();
	}

}
