package io.mulberrylift.gateway.loop;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.forwarding.RefusalCause;

/**
 * Counters and latency histograms of a gateway. Thread-safe.
 */
public final class GatewayMetrics {

	private static final long WINDOW_SECONDS = 30;

	private final MetricRegistry registry = new MetricRegistry();

	private final Histogram firstChunkMillis = histogram("first_piece_millis");

	private final Histogram completeAnswerMillis = histogram("whole_answer_millis");

	private Histogram histogram(String name) {
		return this.registry.register(name,
				new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)));
	}

	/**
	 * Increments a counter.
	 * @param name name of the counter
	 */
	public void count(String name) {
		this.registry.counter(name).inc();
	}

	/**
	 * Counts an attempt that ended.
	 * @param outcome how it ended
	 */
	public void countAttempt(AttemptOutcome outcome) {
		count("attempts_" + outcome.name().toLowerCase(Locale.ROOT));
	}

	/**
	 * Counts a refusal.
	 * @param cause reason of the refusal
	 */
	public void countRefusal(RefusalCause cause) {
		count("refusals_" + cause.name().toLowerCase(Locale.ROOT));
	}

	/**
	 * Records the time from the receipt of a request to the first chunk of its answer.
	 * @param millis the time
	 */
	public void recordFirstChunk(long millis) {
		this.firstChunkMillis.update(millis);
	}

	/**
	 * Records the time from the receipt of a request to the end of its answer.
	 * @param millis the time
	 */
	public void recordCompleteAnswer(long millis) {
		this.completeAnswerMillis.update(millis);
	}

	/**
	 * Renders all metrics as text, one name and value per line.
	 * @return the text
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		for (Map.Entry<String, Counter> counter : this.registry.getCounters().entrySet()) {
			text.append("mulberrylift_").append(counter.getKey()).append(' ').append(counter.getValue().getCount());
			text.append('\n');
		}
		for (Map.Entry<String, Histogram> histogram : this.registry.getHistograms().entrySet()) {
			Snapshot snapshot = histogram.getValue().getSnapshot();
			appendQuantile(text, histogram.getKey(), "0.5", snapshot.getMedian());
			appendQuantile(text, histogram.getKey(), "0.95", snapshot.get95thPercentile());
			appendQuantile(text, histogram.getKey(), "0.99", snapshot.get99thPercentile());
			appendQuantile(text, histogram.getKey(), "1", snapshot.getMax());
		}
		return text.toString();
	}

	private static void appendQuantile(StringBuilder text, String name, String quantile, double value) {
		text.append("mulberrylift_").append(name).append("{quantile=\"").append(quantile).append("\"} ");
		text.append(value).append('\n');
	}

}
