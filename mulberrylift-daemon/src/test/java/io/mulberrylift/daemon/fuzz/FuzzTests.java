package io.mulberrylift.daemon.fuzz;

import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Runs every fuzz target with a fixed set of mutated inputs.
 */
class FuzzTests {

	private static final long SEED = 20_261_203;

	private static final int INPUTS = 3_000;

	private static final int HANG_TIMEOUT_SECONDS = 300;

	static Stream<String> targets() {
		return FuzzTargets.all().keySet().stream();
	}

	@ParameterizedTest
	@MethodSource("targets")
	@Timeout(value = HANG_TIMEOUT_SECONDS, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
	void mutatedInputsFailOnlyAsDocumented(String name) {
		FuzzRun run = new FuzzRun(name, FuzzTargets.all().get(name), SEED);
		while (run.inputs() < INPUTS) {
			run.tryNext();
		}
		assertThat(run.inputs()).isEqualTo(INPUTS);
	}

	@Test
	void failureNamesItsInput() {
		FuzzRun run = new FuzzRun("broken", (source) -> {
			throw new IllegalStateException(source.randomText());
		}, SEED);
		assertThatExceptionOfType(AssertionError.class).isThrownBy(run::tryNext)
			.withMessage("broken failed at input 0 of seed " + SEED);
	}

}
