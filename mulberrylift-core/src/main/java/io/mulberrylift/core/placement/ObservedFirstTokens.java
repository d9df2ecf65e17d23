package io.mulberrylift.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Corrects predicted first tokens of long prompts by the ratio of observed to predicted
 * times, by service and by whether the prompt was split.
 *
 * <p>
 * Not thread-safe; owned by the reducer. The ratio is averaged as a logarithm, so that
 * one very late prompt counts like one very early one, and returns to 1 while nothing is
 * observed.
 * </p>
 */
public final class ObservedFirstTokens implements FirstTokenCorrection {

	/** Share of an observation in the average. */
	private static final double LEARNING_SHARE = 0.2;

	private static final double MAX_FACTOR = 3;

	/** Time in which a factor that is not confirmed falls by about two thirds. */
	private static final double FORGETTING_MILLIS = 20_000;

	private final Map<String, Learned> learned = new HashMap<>();

	private long nowMillis;

	/**
	 * Sets the current time, to which factors are aged.
	 * @param now the time
	 */
	public void setNow(long now) {
		this.nowMillis = now;
	}

	/**
	 * Records a first token.
	 * @param service name of the service
	 * @param parts number of parts of the prompt
	 * @param predictedMillis its predicted time, as corrected
	 * @param observedMillis its observed time
	 */
	public void record(String service, int parts, double predictedMillis, double observedMillis) {
		if (predictedMillis < 1 || observedMillis < 1) {
			return;
		}
		double log = log(service, parts) + LEARNING_SHARE * Math.log(observedMillis / predictedMillis);
		double limit = Math.log(MAX_FACTOR);
		this.learned.put(key(service, parts), new Learned(Math.max(0, Math.min(limit, log)), this.nowMillis));
	}

	@Override
	public double factor(String service, int parts) {
		return Math.exp(log(service, parts));
	}

	private double log(String service, int parts) {
		Learned known = this.learned.get(key(service, parts));
		return (known != null) ? known.log() * Math.exp((known.millis() - this.nowMillis) / FORGETTING_MILLIS) : 0;
	}

	private static String key(String service, int parts) {
		return (parts > 1) ? service + " split" : service;
	}

	private record Learned(double log, long millis) {
	}

}
