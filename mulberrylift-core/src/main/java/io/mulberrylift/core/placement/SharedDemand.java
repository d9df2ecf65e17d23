package io.mulberrylift.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.gossip.DemandFigure;

/**
 * Demand of other instances as they told it last. Figures expire
 * {@value #FIGURES_TTL_MILLIS} ms after they were received, so that a lost instance stops
 * counting about when it stops being a member.
 *
 * <p>
 * Not thread-safe; owned by the reducer. An instance that states no figures counts as one
 * without demand, since figures of 0 are not told.
 * </p>
 */
final class SharedDemand {

	private static final long FIGURES_TTL_MILLIS = 4000;

	private final Map<String, Report> reports = new HashMap<>();

	void apply(String sender, List<DemandFigure> figures, long nowMillis) {
		Map<Integer, Long> bySubject = new HashMap<>();
		figures.forEach((each) -> bySubject.merge(each.subjectHash(), each.workMillisPerSecond(), Long::sum));
		this.reports.put(sender, new Report(bySubject, nowMillis));
	}

	void expire(long nowMillis) {
		this.reports.values().removeIf((each) -> nowMillis - each.receivedMillis() > FIGURES_TTL_MILLIS);
	}

	/**
	 * Returns the demand of all instances. Those whose figures are not known count with
	 * the mean of the others.
	 * @param subjectHash what the demand is for
	 * @param ownMillisPerSecond demand of this instance
	 * @param liveInstances number of live instances, including this one
	 * @return the demand in milliseconds of one engine per second
	 */
	double totalMillisPerSecond(int subjectHash, double ownMillisPerSecond, int liveInstances) {
		double sum = ownMillisPerSecond;
		for (Report each : this.reports.values()) {
			sum += each.bySubject().getOrDefault(subjectHash, 0L);
		}
		return sum * Math.max(1.0, (double) liveInstances / (1 + this.reports.size()));
	}

	/**
	 * Returns the age of the oldest figures that count.
	 * @param nowMillis the current time
	 * @return the age in milliseconds, 0 without any
	 */
	long oldestAgeMillis(long nowMillis) {
		return this.reports.values().stream().mapToLong((each) -> nowMillis - each.receivedMillis()).max().orElse(0);
	}

	int instances() {
		return this.reports.size();
	}

	private record Report(Map<Integer, Long> bySubject, long receivedMillis) {
	}

}
