package io.mulberrylift.gateway.endpoint;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests of {@link CarriedRequests}.
 */
class CarriedRequestsTests {

	private final CarriedRequests requests = new CarriedRequests();

	@Test
	void containsNothingAtFirst() {
		assertThat(this.requests.mayContain("a")).isFalse();
		assertThat(this.requests.size()).isZero();
		assertThat(this.requests.isFull()).isFalse();
	}

	@Test
	void containsEachRequestUntilItIsFull() {
		for (int number = 0; number < CarriedRequests.MAX_REQUESTS; number++) {
			assertThat(this.requests.isFull()).isFalse();
			this.requests.add("request-" + number);
		}
		assertThat(this.requests.isFull()).isTrue();
		assertThat(this.requests.size()).isEqualTo(CarriedRequests.MAX_REQUESTS);
		for (int number = 0; number < CarriedRequests.MAX_REQUESTS; number++) {
			assertThat(this.requests.mayContain("request-" + number)).isTrue();
		}
		assertThat(this.requests.mayContain("other")).isFalse();
		assertThatIllegalStateException().isThrownBy(() -> this.requests.add("one-more")).withMessageContaining("1024");
	}

	@Test
	void sameRequestIsAddedAgain() {
		this.requests.add("a");
		this.requests.add("a");
		assertThat(this.requests.size()).isEqualTo(2);
		assertThat(this.requests.mayContain("a")).isTrue();
	}

}
