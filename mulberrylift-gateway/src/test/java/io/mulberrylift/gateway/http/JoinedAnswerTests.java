package io.mulberrylift.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link JoinedAnswer}.
 */
class JoinedAnswerTests {

	private static final String NEXT = "HTTP/1.1 504 Gateway Timeout\r\nreceipt: r2\r\ncontent-length: 0\r\n\r\n";

	private static HttpResponse decode(String head) {
		EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder());
		channel.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
		HttpResponse response = channel.readInbound();
		channel.close();
		return response;
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 200 ", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\ndate:",
			"HTTP/1.1 200 OK\r\ndate: today", "HTTP/1.1 200 OK\r\nname: first\r\nreceipt: r1" })
	void headThatEndsWithinALineIsJoinedWithTheNextOne(String part) {
		HttpResponse head = decode(part + NEXT);
		assertThat(head.decoderResult().isSuccess()).isTrue();
		assertThat(JoinedAnswer.isJoined(head)).isEqualTo(!part.isEmpty());
	}

	/** Parts that the decoder refuses itself. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 20", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\ndate: today\r\n",
			"HTTP/1.1 200 OK\r\nda" })
	void headThatEndsElsewhereIsMalformed(String part) {
		assertThat(decode(part + NEXT).decoderResult().isFailure()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 \r\n\r\n", "HTTP/1.1 200 OK\r\nvia: HTTP/1.1 proxy\r\n\r\n",
			"HTTP/1.1 200 OK\r\nserver: HTTP/1.1\r\nupgrade: HTTP/2.0\r\n\r\n" })
	void headOfOneAnswerIsNotJoined(String head) {
		assertThat(JoinedAnswer.isJoined(decode(head))).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "'wholeHTTP/1.1 504 Status\r\nid: a1\r\n', true", "'HTTP/1.1 200 OK\r\nid: a1', true",
			"'HTTP/1.1 200 OK\r\nid: b1', false", "'GET / HTTP/1.1\r\nid: a1', false", "'a1 HTTP/1.1 200', false",
			"'', false" })
	void bodyThatGoesOnWithAnAnswerToTheSameRequestIsJoined(String body, boolean joined) {
		assertThat(JoinedAnswer.isContained(body.getBytes(StandardCharsets.ISO_8859_1), "a1")).isEqualTo(joined);
	}

	@ParameterizedTest
	@CsvSource({ "'HTTP/1.1 504 Status\r\n\r\n', true", "'data: HTTP/1.1 504\n\n', false", "'HTTP/1.1 x', false",
			"'Hello\n\n', false", "'', false" })
	void eventThatBeginsWithAStatusLineIsAHead(String event, boolean head) {
		assertThat(JoinedAnswer.isEvent(event.getBytes(StandardCharsets.ISO_8859_1))).isEqualTo(head);
	}

}
