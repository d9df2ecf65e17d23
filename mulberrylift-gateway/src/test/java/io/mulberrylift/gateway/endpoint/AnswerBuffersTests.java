package io.mulberrylift.gateway.endpoint;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AnswerBuffersTests {

	private final AnswerBuffers buffers = new AnswerBuffers();

	@Test
	void oneAnswerIsBounded() {
		assertThat(this.buffers.extend(0, AnswerBuffers.MAX_ANSWER_BYTES)).isTrue();
		assertThat(this.buffers.extend(AnswerBuffers.MAX_ANSWER_BYTES, 1)).isFalse();
	}

	@Test
	void largeAnswersTogetherAreBoundedUntilTheyAreReleased() {
		for (int count = 0; count < 3; count++) {
			assertThat(this.buffers.extend(0, AnswerBuffers.MAX_ANSWER_BYTES)).isTrue();
		}
		assertThat(this.buffers.extend(0, AnswerBuffers.MAX_ANSWER_BYTES)).isFalse();
		this.buffers.release(AnswerBuffers.MAX_ANSWER_BYTES);
		assertThat(this.buffers.extend(0, AnswerBuffers.MAX_ANSWER_BYTES)).isTrue();
	}

	@Test
	void smallAnswersAreAcceptedBesideLargeOnes() {
		int size = 0;
		while (this.buffers.extend(0, AnswerBuffers.MAX_ANSWER_BYTES)) {
			size++;
		}
		while (this.buffers.extend(0, AnswerBuffers.OWN_BYTES + 1024 * 1024)) {
			size++;
		}
		assertThat(size).isPositive();
		assertThat(this.buffers.extend(0, AnswerBuffers.OWN_BYTES)).isTrue();
	}

}
