package io.mulberrylift.core.gossip;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class StoreRevisionTests {

	@Test
	void revisionsAreOrderedByEpochFirst() {
		StoreRevision before = new StoreRevision(1, 300);
		StoreRevision after = new StoreRevision(2, 5);
		assertThat(after.isAfter(before)).isTrue();
		assertThat(before.isAfter(after)).isFalse();
		assertThat(before.latest(after)).isEqualTo(after);
		assertThat(after.latest(before)).isEqualTo(after);
		assertThat(new StoreRevision(2, 6).isAfter(after)).isTrue();
	}

	@Test
	void revisionIsNotAfterItself() {
		assertThat(new StoreRevision(2, 5).isAfter(new StoreRevision(2, 5))).isFalse();
		assertThat(new StoreRevision(0, 1).isAfter(StoreRevision.NONE)).isTrue();
	}

	@Test
	void negativeNumbersAreRejected() {
		assertThatThrownBy(() -> new StoreRevision(-1, 0)).isInstanceOf(IllegalArgumentException.class);
		assertThatThrownBy(() -> new StoreRevision(0, -1)).isInstanceOf(IllegalArgumentException.class);
	}

}
