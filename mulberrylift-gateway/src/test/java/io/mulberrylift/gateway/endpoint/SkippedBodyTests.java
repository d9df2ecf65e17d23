package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SkippedBody}.
 */
class SkippedBodyTests {

	private final SkippedBody body = new SkippedBody();

	private static HttpContent part(String text) {
		return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
	}

	@Test
	void bodyOfAnAnswerHidesNone() {
		assertThat(this.body.hidesAnswer(part("HTTP/1.1 is a version, HTTP/1.1"))).isFalse();
		assertThat(this.body.hidesAnswer(part(" 50"))).isFalse();
		assertThat(this.body.hidesAnswer(part(" HTTP/1.1"))).isFalse();
		assertThat(this.body.hidesAnswer(new DefaultLastHttpContent())).isFalse();
	}

	@Test
	void statusLineIsFoundWhereverReadsEnd() {
		String text = "partHTTP/1.1 504 Gateway Timeout\r\n";
		for (int end = 0; end <= text.length(); end++) {
			SkippedBody read = new SkippedBody();
			boolean first = read.hidesAnswer(part(text.substring(0, end)));
			assertThat(first || read.hidesAnswer(part(text.substring(end)))).as("end %s", end).isTrue();
		}
	}

	@Test
	void statusLineIsFoundInSingleBytes() {
		boolean found = false;
		for (char each : "HTTP/1.1 504".toCharArray()) {
			assertThat(found).isFalse();
			found = this.body.hidesAnswer(part(String.valueOf(each)));
		}
		assertThat(found).isTrue();
	}

	@Test
	void statusLineIsFoundInATrailer() {
		DefaultLastHttpContent last = new DefaultLastHttpContent();
		last.trailingHeaders().set("digest", "abHTTP/1.1 504 Gateway Timeout");
		assertThat(this.body.hidesAnswer(last)).isTrue();
	}

}
