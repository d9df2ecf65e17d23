package io.mulberrylift.testkit.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the events of a timing model. Not thread-safe.
 */
final class RecordingListener implements EngineListener {

	final Map<Long, Long> firstTokenMicros = new HashMap<>();

	final Map<Long, Long> endMicros = new HashMap<>();

	final Map<Long, Integer> generatedTokens = new HashMap<>();

	final Map<Long, Integer> cachedTokens = new HashMap<>();

	final List<Long> admitted = new ArrayList<>();

	final List<Long> stepMicros = new ArrayList<>();

	final List<HoldKey> expiredHolds = new ArrayList<>();

	int evictedBlocks;

	@Override
	public void stepped(long atMicros, long durationMicros, int decodingSequences, int prefillTokens) {
		this.stepMicros.add(durationMicros);
	}

	@Override
	public void admitted(long atMicros, long requestId, int cached) {
		this.admitted.add(requestId);
	}

	@Override
	public void generated(long atMicros, long requestId, int offset, int count) {
		this.firstTokenMicros.putIfAbsent(requestId, atMicros);
		this.generatedTokens.merge(requestId, count, Integer::sum);
	}

	@Override
	public void ended(long atMicros, long requestId, int cached, int answerTokens) {
		this.endMicros.put(requestId, atMicros);
		this.cachedTokens.put(requestId, cached);
	}

	@Override
	public void holdExpired(long atMicros, HoldKey key) {
		this.expiredHolds.add(key);
	}

	@Override
	public void evicted(long atMicros, int blocks) {
		this.evictedBlocks += blocks;
	}

}
