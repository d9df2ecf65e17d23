package io.mulberrylift.testkit.engine;

import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for the memory usage of {@link EngineModel}.
 */
class EngineModelMemoryTests {

	private static final long MEMORY_TOKENS = 50_000;

	private static final int OPERATIONS = 300;

	@Property(tries = 200, seed = "7021")
	void memoryUsageAddsUpAndReturnsToZero(@ForAll long seed) {
		Random random = new Random(seed);
		EngineModel model = new EngineModel(
				EngineSettings.midSize().withMemoryTokens(MEMORY_TOKENS).withStepLimits(8, 2_048), EngineListener.NONE);
		for (int i = 0; i < OPERATIONS; i++) {
			applyRandomOperation(model, random, i);
			assertUsageAddsUp(model);
		}
		model.advanceTo(Long.MAX_VALUE - 1);
		assertUsageAddsUp(model);
		assertThat(model.memory().usedTokens()).isZero();
		assertThat(model.load().queuedPromptTokens()).isZero();
		assertThat(model.load().runningRequests() + model.load().queuedRequests()).isZero();
	}

	private static void assertUsageAddsUp(EngineModel model) {
		MemoryUsage use = model.memory();
		assertThat(use.usedTokens() + use.availableTokens()).isEqualTo(MEMORY_TOKENS);
		assertThat(Stream.of(use.runningTokens(), use.heldTokens(), use.pinnedTokens(), use.idleTokens(),
				use.freeTokens()))
			.allSatisfy((tokens) -> assertThat(tokens).isNotNegative());
	}

	private static void applyRandomOperation(EngineModel model, Random random, int id) {
		HoldKey hold = new HoldKey("instance-" + random.nextInt(2), 1, random.nextInt(4));
		switch (random.nextInt(8)) {
			case 0, 1 -> model.submit(request(random, id, Optional.empty()));
			case 2 -> model.submit(request(random, id, Optional.of(new HoldUse(hold, 2, 40_000))));
			case 3 -> model.cancel(random.nextInt(id + 1));
			case 4 -> model.hold(hold, 1_000 + random.nextInt(20_000), 1 + random.nextInt(5_000_000));
			case 5 -> model.release(hold);
			case 6 -> model
				.dropExport(model.export(keys(random), 1 + random.nextInt(1_000_000)).exportId() - random.nextInt(2));
			default -> model.importBlocks(keys(random));
		}
		model.advanceTo(model.nowMicros() + random.nextInt(400_000));
	}

	private static EngineRequest request(Random random, int id, Optional<HoldUse> holds) {
		return new EngineRequest(id, random.nextInt(3), 1 + random.nextInt(30_000), 1 + random.nextInt(50),
				random.nextInt(10), keys(random), holds);
	}

	private static long[] keys(Random random) {
		long prompt = random.nextInt(5) * 1_000L;
		return LongStream.range(prompt, prompt + random.nextInt(20)).toArray();
	}

}
