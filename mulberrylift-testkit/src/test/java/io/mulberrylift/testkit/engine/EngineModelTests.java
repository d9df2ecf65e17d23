package io.mulberrylift.testkit.engine;

import java.util.Optional;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EngineModel}.
 */
class EngineModelTests {

	private static final long FOREVER_MICROS = 1_000_000_000_000L;

	private final RecordingListener events = new RecordingListener();

	private final EngineSettings settings = EngineSettings.midSize();

	private EngineModel model = new EngineModel(this.settings, this.events);

	@Test
	void singlePromptTakesOneStepPerChunkAndOnePerToken() {
		this.model.submit(EngineRequest.of(1, 0, 3_000, 4));
		this.model.advanceTo(FOREVER_MICROS);
		long prefill = 2 * this.settings.stepBaseMicros() + 3_000 * this.settings.prefillMicrosPerToken();
		long decode = 3 * (this.settings.stepBaseMicros() + this.settings.decodeMicrosPerSequence());
		assertThat(this.events.firstTokenMicros).containsEntry(1L, prefill);
		assertThat(this.events.endMicros).containsEntry(1L, prefill + decode);
	}

	@Test
	void decodeGapGrowsWithTheBatchAndWithPrefillInTheStep() {
		for (int id = 1; id <= 32; id++) {
			this.model.submit(EngineRequest.of(id, 0, 10, 1_000));
		}
		this.model.advanceTo(1_000_000);
		long batchGap = this.events.stepMicros.get(this.events.stepMicros.size() - 1);
		assertThat(batchGap).isEqualTo(11_000 + 32 * 600);
		this.model.submit(EngineRequest.of(99, 0, 4_096, 10));
		this.model.advanceTo(1_300_000);
		long mixedGap = this.events.stepMicros.get(this.events.stepMicros.size() - 1);
		assertThat(mixedGap).isEqualTo(batchGap + 2_048 * 95);
	}

	@Test
	void higherPriorityPrefillsFirst() {
		this.model.submit(EngineRequest.of(1, 0, 100_000, 2));
		this.model.submit(EngineRequest.of(2, 0, 100, 2));
		this.model.submit(EngineRequest.of(3, 5, 100, 2));
		this.model.advanceTo(FOREVER_MICROS);
		assertThat(this.events.firstTokenMicros.get(3L)).isLessThan(this.events.firstTokenMicros.get(1L));
		assertThat(this.events.firstTokenMicros.get(1L)).isLessThanOrEqualTo(this.events.firstTokenMicros.get(2L));
	}

	@Test
	void waitingRequestsJoinTheBatchByPriorityThenArrival() {
		this.model = new EngineModel(this.settings.withStepLimits(1, 2_048), this.events);
		this.model.submit(EngineRequest.of(1, 0, 100, 5));
		this.model.submit(EngineRequest.of(2, 0, 100, 5));
		this.model.submit(EngineRequest.of(3, 1, 100, 5));
		this.model.submit(EngineRequest.of(4, 1, 100, 5));
		this.model.advanceTo(FOREVER_MICROS);
		assertThat(this.events.admitted).containsExactly(1L, 3L, 4L, 2L);
	}

	@Test
	void requestWaitsUntilMemoryIsFree() {
		this.model.submit(EngineRequest.of(1, 0, 300_000, 2));
		this.model.submit(EngineRequest.of(2, 0, 200_000, 2));
		assertThat(this.model.load().queuedRequests()).isEqualTo(1);
		this.model.advanceTo(FOREVER_MICROS);
		assertThat(this.events.firstTokenMicros.get(2L)).isGreaterThan(this.events.endMicros.get(1L));
	}

	@Test
	void requestLargerThanTheMemoryIsRefused() {
		assertThat(this.model.submit(EngineRequest.of(1, 0, 1_000_000, 10))).isEqualTo(SubmitResult.TOO_LARGE);
		assertThat(this.model.nextEventMicros()).isEmpty();
	}

	@Test
	void cancelFreesMemoryAtOnce() {
		this.model.submit(EngineRequest.of(1, 0, 300_000, 2));
		this.model.advanceTo(50_000);
		assertThat(this.model.memory().runningTokens()).isEqualTo(300_002);
		assertThat(this.model.cancel(1)).isTrue();
		assertThat(this.model.memory().usedTokens()).isZero();
		assertThat(this.model.load().queuedPromptTokens()).isZero();
		assertThat(this.model.cancel(1)).isFalse();
	}

	@Test
	void cachedPrefixShortensThePrefillOfTheNextPrompt() {
		long[] blocks = keys(1, 20);
		this.model.submit(EngineRequest.of(1, 0, 20_500, 2, blocks));
		this.model.advanceTo(FOREVER_MICROS);
		long cold = this.events.firstTokenMicros.get(1L);
		this.model.submit(EngineRequest.of(2, 0, 20_500, 2, blocks));
		this.model.advanceTo(2 * FOREVER_MICROS);
		assertThat(this.events.cachedTokens).containsEntry(1L, 0).containsEntry(2L, 20 * 1_024);
		assertThat(this.events.firstTokenMicros.get(2L) - FOREVER_MICROS).isLessThan(cold / 10);
		assertThat(this.model.cacheReport(0, 0).added()).containsExactlyInAnyOrder(blocks);
	}

	@Test
	void leastRecentlyUsedBlocksAreEvictedForNewWork() {
		this.model = new EngineModel(this.settings.withMemoryTokens(40 * 1_024), this.events);
		this.model.submit(EngineRequest.of(1, 0, 10 * 1_024, 2, keys(100, 10)));
		this.model.advanceTo(FOREVER_MICROS);
		this.model.submit(EngineRequest.of(2, 0, 10 * 1_024, 2, keys(200, 10)));
		this.model.advanceTo(2 * FOREVER_MICROS);
		this.model.submit(EngineRequest.of(3, 0, 25 * 1_024, 2, keys(300, 25)));
		this.model.advanceTo(3 * FOREVER_MICROS);
		assertThat(this.events.evictedBlocks).isEqualTo(6);
		assertThat(this.model.cachedBlocks(keys(100, 10))).isEqualTo(4);
		assertThat(this.model.cachedBlocks(keys(200, 10))).isEqualTo(10);
		assertThat(this.model.cacheReport(20, 0).evicted()).containsExactlyInAnyOrder(keys(104, 6));
	}

	@Test
	void cacheReportIsIncompleteWhenEventsWereDropped() {
		this.model = new EngineModel(this.settings.withCacheLogEvents(8), this.events);
		this.model.submit(EngineRequest.of(1, 0, 10 * 1_024, 2, keys(1, 10)));
		this.model.advanceTo(FOREVER_MICROS);
		assertThat(this.model.cacheReport(0, 0).complete()).isFalse();
		assertThat(this.model.cacheReport(0, 0).added()).hasSize(8);
		assertThat(this.model.cacheReport(2, 0).complete()).isTrue();
		assertThat(this.model.cacheReport(2, 0).sequence()).isEqualTo(10);
		assertThat(this.model.cacheReport(2, FOREVER_MICROS).added()).isEmpty();
		assertThat(this.model.cacheReport(2, FOREVER_MICROS).sequence()).isEqualTo(2);
	}

	@Test
	void resumedRequestPrefillsTheKnownTokensAndGeneratesTheRest() {
		this.model.submit(new EngineRequest(1, 0, 100, 50, 40, new long[0], Optional.empty()));
		this.model.advanceTo(FOREVER_MICROS);
		assertThat(this.events.generatedTokens).containsEntry(1L, 10);
		assertThat(this.events.firstTokenMicros).containsEntry(1L, 11_000 + 140 * 95L);
	}

	@Test
	void holdsTakeMemoryUntilReleasedOrExpired() {
		HoldKey first = new HoldKey("instance-1", 1, 1);
		HoldKey second = new HoldKey("instance-1", 1, 2);
		assertThat(this.model.hold(first, 300_000, 1_000_000)).isTrue();
		assertThat(this.model.hold(second, 200_000, 1_000_000)).isFalse();
		assertThat(this.model.hold(second, 100_000, 2_000_000)).isTrue();
		this.model.advanceTo(1_500_000);
		assertThat(this.events.expiredHolds).containsExactly(first);
		assertThat(this.model.memory().heldTokens()).isEqualTo(100_000);
		this.model.release(second);
		assertThat(this.model.memory().freeTokens()).isEqualTo(400_000);
	}

	@Test
	void gangUsesTheSumOfItsHoldsAndPrefillsFaster() {
		HoldKey own = new HoldKey("instance-1", 1, 1);
		this.model.hold(own, 400_000, FOREVER_MICROS);
		assertThat(this.model.submit(gang(1, own, 2))).isEqualTo(SubmitResult.TOO_LARGE);
		assertThat(this.model.submit(gang(2, own, 3))).isEqualTo(SubmitResult.ACCEPTED);
		assertThat(this.model.submit(gang(3, own, 3))).isEqualTo(SubmitResult.HOLD_MISSING);
		this.model.advanceTo(FOREVER_MICROS / 10);
		double prefillMicros = 1_000_000 * 95 / 2.6;
		assertThat(this.events.firstTokenMicros.get(2L).doubleValue()).isBetween(prefillMicros, prefillMicros * 1.2);
	}

	@Test
	void holdInUseStaysUntilTheRequestEnds() {
		HoldKey own = new HoldKey("instance-1", 1, 1);
		this.model.hold(own, 400_000, 1_000);
		this.model.submit(gang(1, own, 3));
		this.model.advanceTo(5_000);
		this.model.release(own);
		assertThat(this.model.memory().heldTokens()).isEqualTo(400_000);
		this.model.cancel(1);
		assertThat(this.model.memory().usedTokens()).isZero();
	}

	@Test
	void requestWithHoldOvertakesOneThatWaitsForMemory() {
		HoldKey own = new HoldKey("instance-1", 1, 1);
		this.model.hold(own, 400_000, FOREVER_MICROS);
		this.model.submit(EngineRequest.of(1, 9, 1_000, 5));
		this.model.submit(gang(2, own, 3));
		this.model.release(own);
		this.model.advanceTo(FOREVER_MICROS / 10);
		assertThat(this.events.admitted).containsExactly(2L, 1L);
	}

	@Test
	void memoryHeldForOtherEnginesSlowsTheSteps() {
		this.model.hold(new HoldKey("instance-1", 1, 1), 1_000, FOREVER_MICROS);
		this.model.submit(EngineRequest.of(1, 0, 1_000, 1));
		this.model.advanceTo(1_000_000);
		assertThat(this.events.firstTokenMicros).containsEntry(1L, Math.round((11_000 + 95_000) * 1.2));
	}

	@Test
	void exportPinsBlocksThatAnotherEngineImports() {
		long[] blocks = keys(1, 10);
		this.model.submit(EngineRequest.of(1, 0, 10 * 1_024, 2, blocks));
		this.model.advanceTo(FOREVER_MICROS);
		ExportState export = this.model.export(blocks, 1_000);
		assertThat(this.model.memory().pinnedTokens()).isEqualTo(10 * 1_024);
		EngineModel other = new EngineModel(this.settings, EngineListener.NONE);
		assertThat(other.importBlocks(export.prefixBlocks())).isEqualTo(10);
		assertThat(other.cachedBlocks(blocks)).isEqualTo(10);
		this.model.advanceTo(FOREVER_MICROS + 1_000);
		assertThat(this.model.findExport(export.exportId())).isEmpty();
		assertThat(this.model.memory().usedTokens()).isZero();
	}

	private static EngineRequest gang(long id, HoldKey own, int members) {
		return new EngineRequest(id, 0, 1_000_000, 10, 0, new long[0],
				Optional.of(new HoldUse(own, members, (members - 1) * 400_000L)));
	}

	private static long[] keys(long first, int count) {
		return LongStream.range(first, first + count).toArray();
	}

}
