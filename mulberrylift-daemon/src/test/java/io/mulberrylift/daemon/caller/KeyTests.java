package io.mulberrylift.daemon.caller;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of idempotency keys, hashes, service paths and forwarded headers.
 */
class KeyTests {

	@Test
	void timeOfUuidOfVersionSevenIsItsFirstFortyEightBits() {
		assertThat(UuidV7.epochMillis("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")).hasValue(1_645_557_742_000L);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "ticket-1", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
			"017f22e2-79b0-7cc3-18c4-dc0c0c07398f", "017f22e2-79b0-7cc3-98c4-dc0c0c07398", "1-1-7cc3-98c4-dc0c0c07398f",
			"017f22e2-79b0-7cc3-98c4-dc0c0c07398g", "0000000017f22e2-79b0-7cc3-98c4-dc0c0" })
	void otherTextsCarryNoTime(String key) {
		assertThat(UuidV7.epochMillis(key)).isEmpty();
	}

	@Test
	void prefixBlocksAgreeAsFarAsPromptsDo() {
		String shared = "a".repeat(2 * 4_096);
		long[] first = PromptHashes.prefixBlocks(shared + "b".repeat(4_096));
		long[] second = PromptHashes.prefixBlocks(shared + "c".repeat(4_096 + 4_095));
		assertThat(first).hasSize(3);
		assertThat(second).hasSize(3);
		assertThat(first[0]).isEqualTo(second[0]).isNotEqualTo(first[1]);
		assertThat(first[1]).isEqualTo(second[1]);
		assertThat(first[2]).isNotEqualTo(second[2]);
	}

	@Test
	void laterBlocksCoverAllEarlierText() {
		String tail = "z".repeat(4_096);
		long[] first = PromptHashes.prefixBlocks("a".repeat(4_096) + tail);
		long[] second = PromptHashes.prefixBlocks("b".repeat(4_096) + tail);
		assertThat(first[1]).isNotEqualTo(second[1]);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "/a", "s//a", "s/./a", "s/a/..", "s/%2e%2E/a", "s/a%2Fb", "s/a%5Cb", "s/..;/a",
			"s/%252e/a", "s/a//", "s/%zz" })
	void ambiguousPathsAreRejected(String rest) {
		assertThat(ServicePath.parse(ServicePath.PREFIX + rest, "")).isEmpty();
	}

	@Test
	void plainPathsAreParsed() {
		assertThat(ServicePath.parse("/v1/services/s", "")).hasValue(new ServicePath("s", "", ""));
		assertThat(ServicePath.parse("/v1/services/s/a%20b/c/", "d=e").orElseThrow().pathAndQuery())
			.isEqualTo("a%20b/c/?d=e");
	}

	@Test
	void promptTokensAreRoundedUp() {
		assertThat(PromptHashes.promptTokens("")).isZero();
		assertThat(PromptHashes.promptTokens("a")).isOne();
		assertThat(PromptHashes.promptTokens("abcd")).isOne();
		assertThat(PromptHashes.promptTokens("abcde")).isEqualTo(2);
	}

	@Test
	void fingerprintDependsOnPartBoundaries() {
		assertThat(PromptHashes.fingerprint("a", List.of("bc"), new byte[0]))
			.isNotEqualTo(PromptHashes.fingerprint("ab", List.of("c"), new byte[0]));
	}

	@Test
	void credentialIsForwardedOnlyWhenItIsNotChecked() {
		Map<String, List<String>> headers = Map.of("Authorization", List.of("Bearer a"), "Connection",
				List.of("close, X-Hop"), "x-hop", List.of("1"), "Accept", List.of("*/*"));
		assertThat(EndToEndHeaders.ofRequest(headers, true)).containsOnlyKeys("Accept");
		assertThat(EndToEndHeaders.ofRequest(headers, false)).containsOnlyKeys("Accept", "Authorization");
	}

}
