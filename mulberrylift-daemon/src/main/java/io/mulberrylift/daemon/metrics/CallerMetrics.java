package io.mulberrylift.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.model.PromptLengthClass;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Metrics of the answers and refusals that callers receive.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
public final class CallerMetrics {

	private static final String PREFIX = "caller.";

	private final MetricRegistry registry;

	/**
	 * Creates the metrics.
	 * @param registry registry that holds them
	 */
	public CallerMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Records the time to the first token of an answer.
	 * @param promptTokens length of the prompt in tokens
	 * @param elapsedMillis time since the arrival of the request in milliseconds
	 */
	public void recordFirstToken(int promptTokens, long elapsedMillis) {
		String label = PromptLengthClass.of(promptTokens).label();
		this.registry.histogram(PREFIX + "firstTokenMillis." + label).update(elapsedMillis);
	}

	/**
	 * Counts a complete answer.
	 */
	public void countAnswer() {
		this.registry.counter(PREFIX + "answers").inc();
	}

	/**
	 * Counts a stored answer that was replayed to a caller.
	 */
	public void countReplay() {
		this.registry.counter(PREFIX + "replays").inc();
	}

	/**
	 * Counts a refusal under its reason.
	 * @param reason the reason
	 */
	public void countRefusal(RefusalReason reason) {
		this.registry.counter(PREFIX + "refusals." + reason.label()).inc();
	}

	/**
	 * Counts a caller that disconnected before its answer was complete.
	 */
	public void countDisconnect() {
		this.registry.counter(PREFIX + "gone").inc();
	}

}
