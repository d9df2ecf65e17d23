package io.mulberrylift.testkit.experiment;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Results of one run over the requests sent within its window. Times to first token and
 * durations cover answered requests only.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class RunResult {

	private static final long MAX_MICROS = 3_600_000_000L;

	private static final int DIGITS = 3;

	private static final double MICROS_PER_SECOND = 1e6;

	private static final double MICROS_PER_MILLI = 1e3;

	private final Map<LengthClass, Histogram> firstTokens = new EnumMap<>(LengthClass.class);

	private final Map<RunRecorder.Answer, Integer> answers = new EnumMap<>(RunRecorder.Answer.class);

	private final Histogram shortFirstTokens = new Histogram(MAX_MICROS, DIGITS);

	private final Histogram longFirstTokens = new Histogram(MAX_MICROS, DIGITS);

	private final Histogram shortDurations = new Histogram(MAX_MICROS, DIGITS);

	private final double usefulTokensPerSecond;

	private final double wastedShare;

	private int requests;

	private int shortRequests;

	private int shortAnswered;

	private int longRequests;

	private int longAnswered;

	RunResult(RunRecorder recorder, Window window, long processedTokens) {
		for (LengthClass lengthClass : LengthClass.values()) {
			this.firstTokens.put(lengthClass, new Histogram(MAX_MICROS, DIGITS));
		}
		long usefulTokens = 0;
		for (Arrival arrival : recorder.arrivals()) {
			boolean answered = recorder.answer(arrival) == RunRecorder.Answer.ANSWERED;
			if (answered && window.contains(recorder.endMicros(arrival))) {
				usefulTokens += arrival.totalTokens();
			}
			if (window.contains(arrival.sendMicros())) {
				add(recorder, arrival);
			}
		}
		this.usefulTokensPerSecond = usefulTokens * MICROS_PER_SECOND / (window.endMicros() - window.startMicros());
		this.wastedShare = (processedTokens > 0) ? Math.max(0, 1 - (double) recorder.neededTokens() / processedTokens)
				: 0;
	}

	private void add(RunRecorder recorder, Arrival arrival) {
		RunRecorder.Answer answer = recorder.answer(arrival);
		boolean answered = answer == RunRecorder.Answer.ANSWERED;
		this.requests++;
		this.answers.merge(answer, 1, Integer::sum);
		this.shortRequests += arrival.isShort() ? 1 : 0;
		this.shortAnswered += (arrival.isShort() && answered) ? 1 : 0;
		boolean isLong = arrival.profile() == WorkProfile.LONG;
		this.longRequests += isLong ? 1 : 0;
		this.longAnswered += (isLong && answered) ? 1 : 0;
		if (answered) {
			this.firstTokens.get(LengthClass.of(arrival.promptTokens()))
				.recordValue(recorder.firstTokenMicros(arrival));
			if (isLong) {
				this.longFirstTokens.recordValue(recorder.firstTokenMicros(arrival));
			}
			if (arrival.isShort()) {
				this.shortFirstTokens.recordValue(recorder.firstTokenMicros(arrival));
				this.shortDurations.recordValue(recorder.durationMicros(arrival));
			}
		}
	}

	double firstTokenMillis(LengthClass lengthClass, double percentile) {
		return this.firstTokens.get(lengthClass).getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	double shortFirstTokenMillis(double percentile) {
		return this.shortFirstTokens.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	double longFirstTokenMillis(double percentile) {
		return this.longFirstTokens.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	double shortDurationMillis(double percentile) {
		return this.shortDurations.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	int requests() {
		return this.requests;
	}

	double share(RunRecorder.Answer answer) {
		return (this.requests > 0) ? (double) this.answers.getOrDefault(answer, 0) / this.requests : 0;
	}

	int count(RunRecorder.Answer answer) {
		return this.answers.getOrDefault(answer, 0);
	}

	double shortAnsweredShare() {
		return (this.shortRequests > 0) ? (double) this.shortAnswered / this.shortRequests : 0;
	}

	double longAnsweredShare() {
		return (this.longRequests > 0) ? (double) this.longAnswered / this.longRequests : 0;
	}

	/**
	 * Returns the rate of prompt and answer tokens of requests answered within the
	 * window.
	 * @return tokens per second
	 */
	double usefulTokensPerSecond() {
		return this.usefulTokensPerSecond;
	}

	/**
	 * Returns the share of computed tokens that contributed to no answered request.
	 * @return the share, from 0 to 1
	 */
	double wastedShare() {
		return this.wastedShare;
	}

	static RunResult of(RunRecorder recorder, Window window, List<SimulatedEngine> engines) {
		return new RunResult(recorder, window, engines.stream().mapToLong(SimulatedEngine::processedTokens).sum());
	}

	/**
	 * Measurement window of a run.
	 *
	 * @param startMicros begin of the window in microseconds, inclusive
	 * @param endMicros end of the window in microseconds, exclusive
	 */
	record Window(long startMicros, long endMicros) {

		boolean contains(long micros) {
			return micros >= this.startMicros && micros < this.endMicros;
		}

	}

}
