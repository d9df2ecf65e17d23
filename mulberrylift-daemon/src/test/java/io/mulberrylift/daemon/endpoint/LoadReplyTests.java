package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Tests for {@link LoadReply}.
 */
class LoadReplyTests {

	@ParameterizedTest
	@ValueSource(strings = { "", "null", "[]", "{", "{\"loadedModels\":[null]}", "{\"incarnation\":1e999}" })
	void faultyReportsAreInputErrors(String body) {
		assertThatIOException().isThrownBy(() -> parse(body));
	}

	@Test
	void roleIsReadAndEmptyWhenAbsent() throws IOException {
		assertThat(parse("{\"role\":\"decode\"}").toLoadReport(AttemptHandlerFixture.ENDPOINT).role())
			.isEqualTo("decode");
		assertThat(parse("{}").toLoadReport(AttemptHandlerFixture.ENDPOINT).role()).isEmpty();
	}

	private static LoadReply parse(String body) throws IOException {
		return LoadReply.parse(body.getBytes(StandardCharsets.UTF_8));
	}

}
