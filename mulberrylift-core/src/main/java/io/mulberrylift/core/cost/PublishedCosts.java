package io.mulberrylift.core.cost;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.gossip.CostFigure;

/**
 * Observations of this instance that wait to be told to its peers, and those that peers
 * tell.
 *
 * <p>
 * Each observation is told once, as it was made, so that a receiver adds it to its own. A
 * message that is lost takes its observations with it, and an instance that receives only
 * some of the messages learns from a sample. Not thread-safe. At most
 * {@value #MAX_WAITING} figures wait; the oldest are dropped.
 * </p>
 */
final class PublishedCosts {

	private static final int MAX_WAITING = 128;

	private static final int KINDS = 4;

	private static final int TIME = 0;

	private static final int PACE = 1;

	private static final int MAX_PEER_WEIGHT = 100;

	private static final double LOG_UNIT = 0.01;

	private static final double MAX_LOG = Math.log(EndpointPace.MAX_FACTOR);

	/** Variance of the logarithms of durations that peers compared. */
	private static final double PEER_LOG_VARIANCE = 0.3;

	private final Map<Key, Sum> waiting = new LinkedHashMap<>();

	void addTime(CostSubject subject, int bucket) {
		add(new Key(subject.routeKey(), TIME + KINDS * subject.serviceKey(), bucket), bucket);
	}

	void addPace(int endpointHash, double logRatio) {
		double bounded = Math.max(-MAX_LOG, Math.min(MAX_LOG, logRatio));
		add(new Key(endpointHash, PACE, 0), (bounded + MAX_LOG) / LOG_UNIT);
	}

	private void add(Key key, double value) {
		this.waiting.merge(key, new Sum(value, 1), Sum::plus);
		if (this.waiting.size() > MAX_WAITING) {
			Iterator<Key> oldest = this.waiting.keySet().iterator();
			oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Removes and returns the figures that have waited longest.
	 * @param maxCount maximum number of figures
	 * @return the figures
	 */
	List<CostFigure> poll(int maxCount) {
		List<CostFigure> polled = new ArrayList<>();
		Iterator<Map.Entry<Key, Sum>> entries = this.waiting.entrySet().iterator();
		while (polled.size() < maxCount && entries.hasNext()) {
			Map.Entry<Key, Sum> entry = entries.next();
			Sum sum = entry.getValue();
			polled.add(new CostFigure(entry.getKey().subject(), entry.getKey().quantity(),
					Math.round(sum.total() / sum.count()), sum.count()));
			entries.remove();
		}
		return polled;
	}

	/**
	 * Adds what a peer observed. Figures of kinds or values that this build does not know
	 * are skipped.
	 * @param figure the figure
	 * @param costs receives the observations
	 * @param nowMillis the current time
	 */
	static void apply(CostFigure figure, CostTable costs, long nowMillis) {
		double weight = Math.min(MAX_PEER_WEIGHT, figure.weight());
		int kind = figure.quantity() % KINDS;
		if (kind == TIME && figure.value() < DurationSketch.BUCKETS) {
			costs.recordTime(new CostSubject(figure.subjectHash(), figure.quantity() / KINDS), (int) figure.value(),
					weight, nowMillis);
		}
		else if (kind == PACE && figure.value() * LOG_UNIT <= 2 * MAX_LOG + LOG_UNIT) {
			costs.recordPace(figure.subjectHash(), figure.value() * LOG_UNIT - MAX_LOG, PEER_LOG_VARIANCE, weight,
					nowMillis);
		}
	}

	private record Key(int subject, int quantity, int bucket) {
	}

	private record Sum(double total, long count) {

		Sum plus(Sum other) {
			return new Sum(this.total + other.total, this.count + other.count);
		}

	}

}
