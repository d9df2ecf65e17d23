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

	private static final String TEXT = "half" + "HTTP/1.1 504 Gateway Timeout\r\n";

	private final SkippedBody body = new SkippedBody();

	private static HttpContent content(String text) {
		return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
	}

	@Test
	void statusLineIsFoundWhereverPartsEnd() {
		for (int end = 0; end <= TEXT.length(); end++) {
			SkippedBody parts = new SkippedBody();
			boolean first = parts.append(content(TEXT.substring(0, end)));
			boolean second = parts.append(content(TEXT.substring(end)));
			assertThat(first || second).as("end %s", end).isTrue();
		}
	}

	@Test
	void statusLineIsFoundInPartsOfOneByte() {
		boolean found = false;
		for (char character : TEXT.toCharArray()) {
			found |= this.body.append(content(String.valueOf(character)));
		}
		assertThat(found).isTrue();
	}

	@Test
	void statusLineIsFoundInTrailers() {
		DefaultLastHttpContent last = new DefaultLastHttpContent();
		last.trailingHeaders().set("x-a", "HTTP/1.1 504 Gateway Timeout");
		assertThat(this.body.append(last)).isTrue();
	}

	@Test
	void otherBodiesContainNone() {
		assertThat(this.body.append(content("HTTP/1.1 and HTTP/2 200 504"))).isFalse();
		assertThat(this.body.append(new DefaultLastHttpContent())).isFalse();
	}

}
