package io.mulberrylift.testkit.service;

import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts executed calls by idempotency key and body. Thread-safe.
 */
final class ExecutionLog {

	private final Map<Call, Integer> counts = new LinkedHashMap<>();

	synchronized void add(String idempotencyKey, long bodyHash) {
		this.counts.merge(new Call(idempotencyKey, bodyHash), 1, Integer::sum);
	}

	synchronized List<Execution> list() {
		return this.counts.entrySet()
			.stream()
			.map((entry) -> new Execution(entry.getKey().idempotencyKey(),
					HexFormat.of().toHexDigits(entry.getKey().bodyHash()), entry.getValue()))
			.toList();
	}

	private record Call(String idempotencyKey, long bodyHash) {
	}

}
