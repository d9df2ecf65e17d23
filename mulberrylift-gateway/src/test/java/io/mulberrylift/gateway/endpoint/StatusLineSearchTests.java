package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StatusLineSearch}.
 */
class StatusLineSearchTests {

	private final StatusLineSearch body = new StatusLineSearch();

	private static HttpContent part(String text) {
		return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
	}

	@Test
	void bodyOfAnAnswerHidesNone() {
		assertThat(this.body.finds(part("HTTP/1.1 is a version, HTTP/1.1"))).isFalse();
		assertThat(this.body.finds(part(" and HTTP/2 200 504"))).isFalse();
		assertThat(this.body.finds(part(" 50"))).isFalse();
		assertThat(this.body.finds(part(" HTTP/1.1"))).isFalse();
		assertThat(this.body.finds(new DefaultLastHttpContent())).isFalse();
	}

	@Test
	void statusLineIsFoundWhereverReadsEnd() {
		String text = "partHTTP/1.1 504 Gateway Timeout\r\n";
		for (int end = 0; end <= text.length(); end++) {
			StatusLineSearch read = new StatusLineSearch();
			boolean first = read.finds(part(text.substring(0, end)));
			assertThat(first || read.finds(part(text.substring(end)))).as("end %s", end).isTrue();
		}
	}

	@Test
	void statusLineIsFoundInSingleBytes() {
		boolean found = false;
		for (char each : "HTTP/1.1 504".toCharArray()) {
			assertThat(found).isFalse();
			found = this.body.finds(part(String.valueOf(each)));
		}
		assertThat(found).isTrue();
	}

	@Test
	void statusLineIsFoundInATrailer() {
		DefaultLastHttpContent last = new DefaultLastHttpContent();
		last.trailingHeaders().set("digest", "abHTTP/1.1 504 Gateway Timeout");
		assertThat(this.body.finds(last)).isTrue();
	}

}
