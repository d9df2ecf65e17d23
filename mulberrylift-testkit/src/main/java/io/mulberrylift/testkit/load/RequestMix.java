package io.mulberrylift.testkit.load;

import java.util.Objects;
import java.util.random.RandomGenerator;

import com.github.f4b6a3.uuid.UuidCreator;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.testkit.engine.AnswerText;

/**
 * Generates random requests: 70% short prompts, 10% medium prompts, 2% long prompts and
 * 18% non-idempotent service calls.
 *
 * <p>
 * Not safe for use by several threads. Equal seeds give equal requests except for the
 * keys, which contain the time of their creation.
 * </p>
 */
final class RequestMix {

	private static final double SHORT_SHARE = 0.70;

	private static final double MEDIUM_SHARE = 0.10;

	private static final double LONG_SHARE = 0.02;

	private static final int MIN_SHORT_TOKENS = 1_000;

	private static final int MAX_SHORT_TOKENS = 4_000;

	private static final int MAX_MEDIUM_TOKENS = 30_000;

	private static final int MIN_LONG_TOKENS = 100_000;

	private static final int MAX_OUTPUT_TOKENS = 64;

	private static final long SHORT_TIMEOUT_MILLIS = 10_000;

	private static final long LONG_TIMEOUT_MILLIS = 60_000;

	private static final long CALL_TIMEOUT_MILLIS = 5_000;

	private static final String FILLER = "road ice gravel salt wind ";

	private final LoadPlan plan;

	private final RandomGenerator random;

	private final String filler;

	private long drawn;

	RequestMix(LoadPlan plan, RandomGenerator random) {
		this.plan = Objects.requireNonNull(plan, "plan");
		this.random = Objects.requireNonNull(random, "random");
		int chars = Math.max(plan.longPromptTokens(), MAX_MEDIUM_TOKENS) * AnswerText.CHARS_PER_TOKEN;
		this.filler = FILLER.repeat(chars / FILLER.length() + 1);
	}

	LoadRequest next() {
		this.drawn++;
		double draw = this.random.nextDouble();
		if (draw < SHORT_SHARE) {
			return prompt("ice-briefing", between(MIN_SHORT_TOKENS, MAX_SHORT_TOKENS), SHORT_TIMEOUT_MILLIS);
		}
		if (draw < SHORT_SHARE + MEDIUM_SHARE) {
			return prompt("regional-outlook", between(MAX_SHORT_TOKENS, MAX_MEDIUM_TOKENS), LONG_TIMEOUT_MILLIS);
		}
		if (draw < SHORT_SHARE + MEDIUM_SHARE + LONG_SHARE) {
			int tokens = between(Math.min(MIN_LONG_TOKENS, this.plan.longPromptTokens()),
					this.plan.longPromptTokens() + 1);
			return prompt("regional-outlook", tokens, LONG_TIMEOUT_MILLIS);
		}
		String body = "{\"crew\":" + this.drawn + ",\"seed\":" + this.plan.seed() + "}";
		String key = UuidCreator.getTimeOrderedEpoch().toString();
		return new LoadRequest(WorkKind.SERVICE, this.plan.service(), "alert", workspace(), body, 0, key,
				CALL_TIMEOUT_MILLIS);
	}

	private LoadRequest prompt(String profile, int tokens, long timeoutMillis) {
		String prefix = this.plan.seed() + "-" + this.drawn + " ";
		String prompt = prefix + this.filler.substring(0, tokens * AnswerText.CHARS_PER_TOKEN - prefix.length());
		return new LoadRequest(WorkKind.MODEL, this.plan.model(), profile, workspace(), prompt, MAX_OUTPUT_TOKENS, "",
				timeoutMillis);
	}

	private int between(int min, int bound) {
		return min + this.random.nextInt(Math.max(1, bound - min));
	}

	private String workspace() {
		return this.plan.workspaces().get(this.random.nextInt(this.plan.workspaces().size()));
	}

}
