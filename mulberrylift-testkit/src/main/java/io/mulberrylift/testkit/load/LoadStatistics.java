package io.mulberrylift.testkit.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import io.mulberrylift.core.model.PromptLengthClass;
import io.mulberrylift.testkit.history.AnswerResult;
import org.HdrHistogram.Histogram;

/**
 * Counts the results of sends and records latencies, measured from the intended time of
 * the send.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
public final class LoadStatistics {

	private static final long MAX_LATENCY_MILLIS = 3_600_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private final Map<PromptLengthClass, Histogram> firstTokenMillis = new EnumMap<>(PromptLengthClass.class);

	private final Map<String, Integer> failureCounts = new TreeMap<>();

	private int sends;

	private int completeAnswers;

	synchronized void record(LoadRequest request, SendResult result, long firstTokenLatencyMillis) {
		this.sends++;
		if (result.result() == AnswerResult.WHOLE) {
			this.completeAnswers++;
		}
		else {
			this.failureCounts.merge(result.result().name().toLowerCase(java.util.Locale.ROOT) + " " + result.reason(),
					1, Integer::sum);
		}
		if (request.promptTokens() > 0 && result.firstTokenNanos() != 0) {
			this.firstTokenMillis
				.computeIfAbsent(PromptLengthClass.of(request.promptTokens()),
						(lengthClass) -> new Histogram(MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS))
				.recordValue(Math.min(MAX_LATENCY_MILLIS, Math.max(0, firstTokenLatencyMillis)));
		}
	}

	/**
	 * Returns the number of finished sends.
	 * @return the number of sends
	 */
	public synchronized int sends() {
		return this.sends;
	}

	/**
	 * Returns the number of sends that received a complete answer.
	 * @return the number of complete answers
	 */
	public synchronized int wholeAnswers() {
		return this.completeAnswers;
	}

	/**
	 * Formats the results as text.
	 * @return a summary line, then one line per prompt-length class and per kind of
	 * failure
	 */
	public synchronized String table() {
		StringBuilder table = new StringBuilder();
		table.append("sends ")
			.append(this.sends)
			.append(", complete answers ")
			.append(this.completeAnswers)
			.append('\n');
		this.firstTokenMillis.forEach((lengthClass, histogram) -> table
			.append(String.format("first token, prompts %-7s n=%-6d p50=%d ms p95=%d ms p99=%d ms%n",
					lengthClass.label(), histogram.getTotalCount(), histogram.getValueAtPercentile(50),
					histogram.getValueAtPercentile(95), histogram.getValueAtPercentile(99))));
		this.failureCounts.forEach((end, count) -> table.append(end).append(' ').append(count).append('\n'));
		return table.toString();
	}

}
