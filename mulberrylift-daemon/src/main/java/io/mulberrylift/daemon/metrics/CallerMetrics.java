package io.mulberrylift.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.model.PromptLengthClass;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Counts what callers receive.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
public final class CallerMetrics {

	private static final String PREFIX = "caller.";

	private final MetricRegistry registry;

	/**
	 * Creates the metrics.
	 * @param registry where they are kept
	 */
	public CallerMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Records the time to the first token of an answer.
	 * @param promptTokens length of the prompt in tokens
	 * @param elapsedMillis time since the request arrived in milliseconds
	 */
	public void recordFirstToken(int promptTokens, long elapsedMillis) {
		String label = PromptLengthClass.of(promptTokens).label();
		this.registry.histogram(PREFIX + "firstTokenMillis." + label).update(elapsedMillis);
	}

	/**
	 * Counts a whole answer.
	 */
	public void countAnswer() {
		this.registry.counter(PREFIX + "answers").inc();
	}

	/**
	 * Counts a stored answer that was sent again.
	 */
	public void countReplay() {
		this.registry.counter(PREFIX + "replays").inc();
	}

	/**
	 * Counts a refusal.
	 * @param reason the typed reason
	 */
	public void countRefusal(RefusalReason reason) {
		this.registry.counter(PREFIX + "refusals." + reason.label()).inc();
	}

	/**
	 * Counts a caller that closed its connection before its answer was complete.
	 */
	public void countDisconnect() {
		this.registry.counter(PREFIX + "gone").inc();
	}

}
