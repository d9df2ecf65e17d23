package io.mulberrylift.testkit.engine;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AnswerText}.
 */
class AnswerTextTests {

	@Test
	void tokensDifferByModelPromptAndOffset() {
		String token = AnswerText.token("m", 1, 0);
		assertThat(AnswerText.token("m", 1, 0)).isEqualTo(token);
		assertThat(AnswerText.token("n", 1, 0)).isNotEqualTo(token);
		assertThat(AnswerText.token("m", 2, 0)).isNotEqualTo(token);
		assertThat(AnswerText.token("m", 1, 1)).isNotEqualTo(token);
	}

	@Test
	void completeAnswerIsTheSameWhenResumed() {
		long hash = AnswerText.promptHash("a prompt");
		int tokens = AnswerText.answerTokens(hash, 100);
		String resumed = AnswerText.text("m", hash, 0, 7) + AnswerText.text("m", hash, 7, tokens);
		assertThat(resumed).isEqualTo(AnswerText.completeAnswer("m", "a prompt", 100));
	}

	@Test
	void limitTruncatesTheAnswer() {
		assertThat(AnswerText.answerTokens(5_000, 3)).isEqualTo(3);
		assertThat(AnswerText.finishReason(5_000, 3)).isEqualTo("length");
		assertThat(AnswerText.finishReason(5_000, 5_000)).isEqualTo("stop");
	}

	@Test
	void promptTokensRoundUp() {
		assertThat(AnswerText.promptTokens("")).isZero();
		assertThat(AnswerText.promptTokens("abcde")).isEqualTo(2);
	}

}
