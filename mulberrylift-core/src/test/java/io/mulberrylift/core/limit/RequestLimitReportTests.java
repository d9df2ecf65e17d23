package io.mulberrylift.core.limit;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class RequestLimitReportTests {

	@Test
	void limitsMustBeFiniteAndNotNegative() {
		for (double limit : new double[] { -0.1, Double.NaN, Double.POSITIVE_INFINITY }) {
			assertThatIllegalArgumentException().isThrownBy(() -> RequestLimitReport.of(limit))
				.withMessageContaining(String.valueOf(limit));
		}
		assertThat(RequestLimitReport.of(0).requestsPerSecond()).hasValue(0.0);
	}

	@Test
	void reportHasALimitOrAMalformedValue() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> new RequestLimitReport(Optional.of(1.0), Optional.of("x")));
		assertThat(RequestLimitReport.unlimited().isUnlimited()).isTrue();
		assertThat(RequestLimitReport.malformed("").isUnlimited()).isFalse();
	}

}
