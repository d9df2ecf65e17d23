package io.mulberrylift.core.gossip;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StoreReaderChoice}.
 */
class StoreReaderChoiceTests {

	private static final int ENOUGH = StoreReaderChoice.READERS_PER_ZONE;

	private final StoreReaderChoice choice = new StoreReaderChoice();

	private StoreReading update(boolean sharing, int ahead, long confirmedAgeMillis, long nowMillis) {
		return this.choice.update(new StoreReaders(sharing, ahead, confirmedAgeMillis), true, nowMillis);
	}

	private void follow() {
		update(true, ENOUGH, 0, 0);
		assertThat(update(true, ENOUGH, 0, 1000)).isEqualTo(StoreReading.NONE);
	}

	@Test
	void instanceWithoutACompleteViewReads() {
		StoreReaders readers = new StoreReaders(true, ENOUGH, 0);
		assertThat(this.choice.update(readers, false, 0)).isEqualTo(StoreReading.PRIMARY);
		assertThat(this.choice.update(readers, false, 5000)).isEqualTo(StoreReading.PRIMARY);
	}

	@Test
	void instanceStopsReadingOnlyAfterItWasNotNeededForAWhile() {
		assertThat(update(true, ENOUGH, 0, 0)).isEqualTo(StoreReading.PRIMARY);
		assertThat(update(true, ENOUGH, 0, 900)).isEqualTo(StoreReading.PRIMARY);
		assertThat(update(true, ENOUGH, 0, 1000)).isEqualTo(StoreReading.NONE);
	}

	@Test
	void nextInstanceTakesAFreePlaceAtOnce() {
		follow();
		assertThat(update(true, ENOUGH - 1, 0, 1020)).isEqualTo(StoreReading.PRIMARY);
	}

	@Test
	void instanceReadsAtOnceBesideABuildThatCannotShareReaders() {
		follow();
		assertThat(update(false, ENOUGH, 0, 1020)).isEqualTo(StoreReading.PRIMARY);
	}

	/** Failure: all readers that an instance follows are no longer answered. */
	@Test
	void instanceReadsWhenNoPeerWasAnsweredLately() {
		follow();
		assertThat(update(true, ENOUGH, StoreReaderChoice.MAX_CONFIRMED_AGE_MILLIS, 2000)).isEqualTo(StoreReading.NONE);
		assertThat(update(true, ENOUGH, StoreReaderChoice.MAX_CONFIRMED_AGE_MILLIS + 1, 2001))
			.isEqualTo(StoreReading.FALLBACK);
		assertThat(update(true, ENOUGH, 100, 2500)).isEqualTo(StoreReading.FALLBACK);
		assertThat(update(true, ENOUGH, 100, 3001)).isEqualTo(StoreReading.NONE);
	}

	@Test
	void fallbackRetriesLessOften() {
		assertThat(StoreReading.FALLBACK.maxRetryDelayMillis())
			.isGreaterThan(StoreReading.PRIMARY.maxRetryDelayMillis());
		assertThat(StoreReading.NONE.reads()).isFalse();
	}

}
