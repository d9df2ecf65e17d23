package io.mulberrylift.gateway.loop;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.mulberrylift.gateway.caller.BufferedRequest;
import io.mulberrylift.gateway.caller.RequestHead;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FingerprintTests {

	private static BufferedRequest request(String method, String host, String target, String key, String body) {
		return new BufferedRequest(HttpMethod.valueOf(method), target, new DefaultHttpHeaders(),
				body.getBytes(StandardCharsets.UTF_8),
				new RequestHead("a", host, target, Optional.of(key), 1000, 0, 0, List.of(), Optional.empty()));
	}

	@Test
	void keyAndCaseOfTheHostDoNotMatter() {
		long fingerprint = Fingerprint.of(request("POST", "api.example", "/x", "k1", "body"), Optional.of("w"));
		assertThat(Fingerprint.of(request("POST", "API.Example", "/x", "k2", "body"), Optional.of("w")))
			.isEqualTo(fingerprint);
	}

	@Test
	void requestsThatDifferHaveOtherFingerprints() {
		assertThat(Stream.of(Fingerprint.of(request("POST", "h", "/x", "k", "body"), Optional.of("w")),
				Fingerprint.of(request("POST", "h", "/x", "k", "body"), Optional.of("w2")),
				Fingerprint.of(request("POST", "h", "/x", "k", "body"), Optional.empty()),
				Fingerprint.of(request("GET", "h", "/x", "k", "body"), Optional.of("w")),
				Fingerprint.of(request("POST", "h2", "/x", "k", "body"), Optional.of("w")),
				Fingerprint.of(request("POST", "h", "/x?y", "k", "body"), Optional.of("w")),
				Fingerprint.of(request("POST", "h", "/x", "k", "bodY"), Optional.of("w")),
				Fingerprint.of(request("POST", "h", "/xw", "k", "body"), Optional.empty()),
				Fingerprint.of(request("POST", "h", "/", "k", "body"), Optional.of("xw"))))
			.doesNotHaveDuplicates();
		assertThat(List.of(Fingerprint.of(request("POST", "h", "/x", "k", ""), Optional.of("w")),
				Fingerprint.of(request("POST", "h", "/x", "k", "w"), Optional.empty())))
			.doesNotHaveDuplicates();
	}

}
