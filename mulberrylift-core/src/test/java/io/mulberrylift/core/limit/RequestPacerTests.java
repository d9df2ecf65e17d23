package io.mulberrylift.core.limit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestPacerTests {

	private final RequestPacer pacer = new RequestPacer();

	@Test
	void startsWithoutATokenAndKeepsNoMoreThanItsCapacity() {
		this.pacer.setRate(0.5, 1, 1000);
		assertThat(this.pacer.isDue(2999)).isFalse();
		assertThat(this.pacer.dueInMillis(2500)).isEqualTo(500);
		assertThat(this.pacer.isDue(3000)).isTrue();
		this.pacer.record(60_000);
		assertThat(this.pacer.isDue(60_000)).isFalse();
		assertThat(this.pacer.dueInMillis(60_000)).isEqualTo(2000);
	}

	@Test
	void requestsWithoutATokenDelayTheFollowingOnes() {
		this.pacer.setRate(1, 1, 0);
		this.pacer.record(0);
		this.pacer.record(0);
		assertThat(this.pacer.dueInMillis(0)).isEqualTo(3000);
	}

	@Test
	void nothingIsDueWithoutARate() {
		this.pacer.setRate(1, 1, 0);
		this.pacer.setRate(0, 0, 5000);
		assertThat(this.pacer.isDue(50_000)).isFalse();
		assertThat(this.pacer.dueInMillis(50_000)).isEqualTo(Long.MAX_VALUE);
		this.pacer.setRate(1, 1, 50_000);
		assertThat(this.pacer.isDue(50_500)).isFalse();
	}

}
