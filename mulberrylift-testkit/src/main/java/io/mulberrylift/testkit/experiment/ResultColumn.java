package io.mulberrylift.testkit.experiment;

import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Result columns that are printed for each policy.
 */
enum ResultColumn {

	/** 95th percentile of the time to first token of short requests. */
	SHORT_TTFT_P95("short_ttft_p95_ms", 0, (row) -> row.mixed().shortFirstTokenMillis(95)),

	/** Slowdown of the time to first token of short requests. */
	TTFT_SLOWDOWN("short_ttft_slowdown", 2, ComparisonRow::firstTokenSlowdown),

	/** Time to first token of short requests relative to an idle fleet. */
	IDLE_RATIO("short_ttft_over_idle", 2, ComparisonRow::idleRatio),

	/** 95th percentile of the end-to-end latency of short requests. */
	SHORT_E2E_P95("short_e2e_p95_ms", 0, (row) -> row.mixed().shortDurationMillis(95)),

	/** Slowdown of the end-to-end latency of short requests. */
	E2E_SLOWDOWN("short_e2e_slowdown", 2, ComparisonRow::endToEndSlowdown),

	/** 95th percentile of the time to first token of prompts above 128,000 tokens. */
	LONG_TTFT_P95("long_ttft_p95_ms", 0, (row) -> row.mixed().firstTokenMillis(LengthClass.ABOVE_128K, 95)),

	/** Share of all requests answered by their deadline. */
	ANSWERED("answered_share", 4, (row) -> row.mixed().share(RunRecorder.Answer.ANSWERED)),

	/** Share of short requests answered by their deadline. */
	SHORT_ANSWERED("short_answered_share", 4, (row) -> row.mixed().shortAnsweredShare()),

	/** Share of long requests answered by their deadline. */
	LONG_ANSWERED("long_answered_share", 4, (row) -> row.mixed().longAnsweredShare()),

	/** Requests refused on arrival. */
	REFUSED("refused", 0, (row) -> row.mixed().count(RunRecorder.Answer.REFUSED)),

	/** Requests admitted but ended by their deadline. */
	LATE("late", 0, (row) -> row.mixed().count(RunRecorder.Answer.LATE)),

	/** Requests admitted but ended for another reason. */
	FAILED("failed", 0, (row) -> row.mixed().count(RunRecorder.Answer.FAILED)),

	/** Tokens per second of requests answered by their deadline. */
	USEFUL("useful_tokens_per_s", 0, (row) -> row.mixed().usefulTokensPerSecond()),

	/** Share of computed tokens that contributed to no answer. */
	WASTED("wasted_share", 4, (row) -> row.mixed().wastedShare());

	private final String label;

	private final int decimals;

	private final ToDoubleFunction<ComparisonRow> value;

	ResultColumn(String label, int decimals, ToDoubleFunction<ComparisonRow> value) {
		this.label = label;
		this.decimals = decimals;
		this.value = value;
	}

	String label() {
		return this.label;
	}

	double value(ComparisonRow row) {
		return this.value.applyAsDouble(row);
	}

	String format(double number) {
		return String.format(Locale.ROOT, "%." + this.decimals + "f", number);
	}

}
