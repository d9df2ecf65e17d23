package io.mulberrylift.core.forwarding;

import java.util.SplittableRandom;

import io.mulberrylift.core.forwarding.StallDetector.EngineSigns;
import io.mulberrylift.core.forwarding.StallDetector.Judgement;
import io.mulberrylift.core.forwarding.StallDetector.StreamSilence;
import io.mulberrylift.core.forwarding.StallDetector.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StallDetectorTests {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private static final long STALL_MILLIS = 900;

	private static final long LAST_STALL_MILLIS = 1500;

	/** Validity of a sign at that stall timeout, as it was before engines were probed. */
	private static final long SIGN_MILLIS = 540;

	private static StreamSilence silence(long sinceMillis, boolean begun, long timeoutMillis) {
		return new StreamSilence(sinceMillis, begun, timeoutMillis, STALL_MILLIS, LAST_STALL_MILLIS, true);
	}

	/**
	 * Judges a stream at each of its checks.
	 * @return when it was given up, or the end
	 */
	private static long leftMillis(StreamSilence silence, EngineSigns signs, boolean answersProbes, long endMillis) {
		EngineSigns current = signs;
		long now = StallDetector.firstCheckMillis(silence);
		while (now < endMillis) {
			Judgement judgement = StallDetector.judge(silence, current, now);
			if (judgement.verdict() == Verdict.DEAD || judgement.verdict() == Verdict.STOPPED) {
				return now;
			}
			if (judgement.verdict() == Verdict.UNKNOWN) {
				current = new EngineSigns(signs.outputMillis(), (answersProbes) ? now + 2 : signs.signMillis(), now,
						signs.iterationMillis(), signs.readingMillis());
			}
			assertThat(judgement.recheckMillis()).isGreaterThan(now);
			now = judgement.recheckMillis();
		}
		return endMillis;
	}

	/** Failure: an engine falls silent for good, whatever it was known to read. */
	@Test
	void deadEngineIsLeftNoLaterThanWithoutProbes() {
		SplittableRandom random = new SplittableRandom(11);
		for (int round = 0; round < 2000; round++) {
			long timeout = STALL_MILLIS + random.nextLong(800);
			long output = 5000 + ((random.nextBoolean()) ? 0 : random.nextLong(1500));
			long iteration = (random.nextBoolean()) ? 0 : random.nextLong(3000);
			long before = Math.max(5000 + timeout, output + SIGN_MILLIS + iteration);
			EngineSigns signs = new EngineSigns(output, 5000, NEVER, iteration, 10_000);
			assertThat(leftMillis(silence(5000, true, timeout), signs, false, 60_000))
				.as("timeout %d, output %d, iteration %d", timeout, output, iteration)
				.isLessThanOrEqualTo(before);
		}
	}

	@Test
	void engineThatDiesAfterASignIsLeftWithinTheValidityOfTheSign() {
		EngineSigns signs = new EngineSigns(5000, 5800, NEVER, 0, 0);
		assertThat(leftMillis(silence(5000, true, STALL_MILLIS), signs, false, 60_000)).isEqualTo(5800 + SIGN_MILLIS);
	}

	@Test
	void engineThatAcceptsConnectionsIsNotLeftWhileKnownReadingExplainsItsSilence() {
		EngineSigns signs = new EngineSigns(5000, 5000, NEVER, 0, 4000);
		assertThat(leftMillis(silence(5000, true, STALL_MILLIS), signs, true, 5000 + 5500)).isEqualTo(5000 + 5500);
	}

	/**
	 * Load: a part of a prompt that this instance doesn't know of; its reading ends
	 * before callers are about to leave.
	 */
	@Test
	void engineThatAcceptsConnectionsIsNotLeftForUnknownReadingUntilCallersAreAboutToLeave() {
		EngineSigns signs = new EngineSigns(5000, 5000, NEVER, 0, 0);
		for (boolean begun : new boolean[] { true, false }) {
			assertThat(leftMillis(silence(5000, begun, STALL_MILLIS), signs, true, 60_000))
				.isBetween(5000 + LAST_STALL_MILLIS, 5000 + LAST_STALL_MILLIS + StallDetector.RECHECK_MILLIS);
		}
	}

	@Test
	void streamThatHasNotBegunWaitsAsLongAsOthersOfItsEngineAdvance() {
		StreamSilence silence = silence(5000, false, STALL_MILLIS);
		EngineSigns signs = new EngineSigns(8900, 5000, NEVER, 0, 0);
		assertThat(StallDetector.judge(silence, signs, 9000).verdict()).isEqualTo(Verdict.SOUND);
		assertThat(StallDetector.judge(silence(5000, true, STALL_MILLIS), signs, 9000).verdict())
			.isEqualTo(Verdict.STOPPED);
	}

	/** Failure: this instance was suspended itself and judges all streams late. */
	@Test
	void engineIsProbedFirstAfterASuspensionOfThisInstance() {
		StreamSilence silence = silence(5000, true, STALL_MILLIS);
		EngineSigns signs = new EngineSigns(5000, 5000, NEVER, 0, 0);
		Judgement judgement = StallDetector.judge(silence, signs, 9000);
		assertThat(judgement.verdict()).isEqualTo(Verdict.UNKNOWN);
		assertThat(judgement.recheckMillis()).isEqualTo(9000 + StallDetector.PROBE_MILLIS);
	}

	@Test
	void enginesAreNotProbedForStreamsThatCannotBeMoved() {
		StreamSilence silence = new StreamSilence(5000, true, STALL_MILLIS, STALL_MILLIS, LAST_STALL_MILLIS, false);
		EngineSigns signs = new EngineSigns(5000, 5000, NEVER, 0, 0);
		assertThat(StallDetector.judge(silence, signs, 5700).verdict()).isEqualTo(Verdict.SOUND);
		assertThat(StallDetector.judge(silence, signs, 5900).verdict()).isEqualTo(Verdict.DEAD);
	}

	@Test
	void peerThatIsHeardOfKeepsItsStreams() {
		assertThat(StallDetector.peerSilentMillis(5000, LAST_STALL_MILLIS, NEVER)).isEqualTo(6500);
		assertThat(StallDetector.peerSilentMillis(5000, LAST_STALL_MILLIS, 4990)).isEqualTo(6500);
		assertThat(StallDetector.peerSilentMillis(5000, LAST_STALL_MILLIS, 6200)).isGreaterThan(7000);
	}

}
