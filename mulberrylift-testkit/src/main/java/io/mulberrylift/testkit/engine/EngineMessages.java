package io.mulberrylift.testkit.engine;

import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * JSON messages of the engine protocol. All are immutable and thread-safe.
 */
final class EngineMessages {

	private EngineMessages() {
	}

	static long[] parseBlocks(List<String> hexKeys) {
		return hexKeys.stream().mapToLong(HexFormat::fromHexDigitsToLong).toArray();
	}

	static List<String> formatBlocks(long[] keys) {
		return LongStream.of(keys).mapToObj(HexFormat.of()::toHexDigits).toList();
	}

	private static void requireText(String name, String value) {
		if (value == null || value.isEmpty()) {
			throw new IllegalArgumentException(name + " is missing; expected a non-empty text");
		}
	}

	private static <T> List<T> orEmpty(List<T> list) {
		return (list != null) ? List.copyOf(list) : List.of();
	}

	record AttemptBody(String attempt, String model, String prompt, int maxOutputTokens, int priority,
			List<String> prefixBlocks, int resumeOffset, List<MemberHold> holds) {

		AttemptBody {
			requireText("attempt", attempt);
			requireText("model", model);
			requireText("prompt", prompt);
			prefixBlocks = orEmpty(prefixBlocks);
			holds = orEmpty(holds);
			if (maxOutputTokens < 1 || resumeOffset < 0) {
				throw new IllegalArgumentException("maxOutputTokens must be 1 or more and resumeOffset 0 or more");
			}
		}

	}

	record MemberHold(String endpoint, String owner, long ownerIncarnation, long holdId, long tokens) {

		HoldKey key() {
			return new HoldKey(this.owner, this.ownerIncarnation, this.holdId);
		}

	}

	record TokensLine(String type, int offset, List<String> text) {
	}

	record EndLine(String type, String finishReason, int promptTokens, int cachedTokens, int outputTokens) {
	}

	record ErrorLine(String type, String detail) {
	}

	record RefusalBody(String detail, long retryAfterMillis) {
	}

	record LoadBody(long incarnation, int runningRequests, int queuedRequests, long queuedPromptTokens,
			long usedMemoryTokens, boolean draining, Collection<String> loadedModels, String role, long ageMillis,
			CacheBody cache) {

		LoadBody withAgeAndCache(long millis, CacheBody events) {
			return new LoadBody(this.incarnation, this.runningRequests, this.queuedRequests, this.queuedPromptTokens,
					this.usedMemoryTokens, this.draining, this.loadedModels, this.role, millis, events);
		}

	}

	record CacheBody(long sequence, boolean complete, List<String> added, List<String> evicted) {
	}

	record HoldBody(long tokens, long expiresInMillis) {

		HoldBody {
			if (tokens < 1 || expiresInMillis < 1) {
				throw new IllegalArgumentException("tokens and expiresInMillis must be positive");
			}
		}

	}

	record FreeTokens(long freeTokens) {
	}

	record HoldList(List<HoldEntry> holds) {
	}

	record HoldEntry(long holdId, String owner, long ownerIncarnation, long tokens, long expiresInMillis) {
	}

	record ExportBody(List<String> prefixBlocks, long expiresInMillis) {

		ExportBody {
			prefixBlocks = orEmpty(prefixBlocks);
			if (expiresInMillis < 1) {
				throw new IllegalArgumentException("expiresInMillis must be positive");
			}
		}

	}

	record ExportAnswer(String exportId, int blocks, long tokens) {
	}

	record ExportBlocks(List<String> prefixBlocks) {

		ExportBlocks {
			prefixBlocks = orEmpty(prefixBlocks);
		}

	}

	record ImportBody(String from, String exportId) {

		ImportBody {
			requireText("from", from);
			requireText("exportId", exportId);
		}

	}

	record ImportAnswer(int blocks) {
	}

	record OrderBody(OrderKind kind, String subject, String version, long fencingNumber) {

		OrderBody {
			Objects.requireNonNull(kind, "kind");
			requireText("subject", subject);
		}

	}

	record OrderAnswer(boolean obeyed, long highestFencingNumber) {
	}

	record OrderState(Set<String> models, String role) {
	}

	enum OrderKind {

		LOAD_MODEL, LOAD_ADAPTER, CHANGE_ROLE

	}

}
