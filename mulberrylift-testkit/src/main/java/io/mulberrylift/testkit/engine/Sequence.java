package io.mulberrylift.testkit.engine;

import java.util.Comparator;

/**
 * State of one request in the timing model. Not thread-safe.
 */
final class Sequence {

	/** Order of the waiting queue and of prefill: by priority, then arrival. */
	static final Comparator<Sequence> ORDER = Comparator.comparingInt((Sequence sequence) -> -sequence.priority())
		.thenComparingLong(Sequence::arrival);

	private final EngineRequest request;

	private final long arrival;

	/** Number of leading blocks pinned by this request. */
	int pinnedBlocks;

	/** Memory reserved outside of pinned blocks, in tokens. */
	long reservedTokens;

	/** Number of prompt tokens found in the prefix cache. */
	int cachedTokens;

	/** Number of tokens to process before the first new token. */
	int remainingPrefillTokens;

	/** Number of prefill tokens to process in the current step. */
	int plannedPrefillTokens;

	/** Number of answer tokens counted from offset 0. */
	int position;

	/** Whether the current step decodes a token for this request. */
	boolean decoding;

	Sequence(EngineRequest request, long arrival) {
		this.request = request;
		this.arrival = arrival;
	}

	EngineRequest request() {
		return this.request;
	}

	int priority() {
		return this.request.priority();
	}

	long arrival() {
		return this.arrival;
	}

	boolean prefilling() {
		return this.remainingPrefillTokens > 0;
	}

	boolean hasHold() {
		return this.request.holds().isPresent();
	}

	int memberCount() {
		return this.request.holds().map(HoldUse::memberCount).orElse(1);
	}

}
