package io.mulberrylift.gateway.http;

import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HopByHopHeadersTests {

	@Test
	void hopByHopHeadersAreRemoved() {
		HttpHeaders headers = new DefaultHttpHeaders().add("Connection", "close, X-Own")
			.add("X-Own", "1")
			.add("Keep-Alive", "timeout=5")
			.add("Transfer-Encoding", "chunked")
			.add("X-Other", "2")
			.add("X-Other", "3");
		HttpHeaders passed = HopByHopHeaders.copyEndToEnd(headers, Set.of());
		assertThat(passed.names()).containsExactly("X-Other");
		assertThat(passed.getAll("x-other")).containsExactly("2", "3");
	}

	@Test
	void keptHeadersSurviveTheConnectionHeader() {
		HttpHeaders headers = new DefaultHttpHeaders().add("Connection", "X-Needed").add("X-Needed", "1");
		assertThat(HopByHopHeaders.copyEndToEnd(headers, Set.of("x-needed")).get("X-Needed")).isEqualTo("1");
	}

}
