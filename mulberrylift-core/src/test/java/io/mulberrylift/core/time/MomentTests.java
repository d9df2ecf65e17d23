package io.mulberrylift.core.time;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Moment}.
 */
class MomentTests {

	@Test
	void plusMillisShiftsBothClocks() {
		assertThat(new Moment(10, 1_000).plusMillis(5)).isEqualTo(new Moment(15, 1_005));
	}

}
