package io.mulberrylift.core.gossip;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link StoreKnowledge} and {@link StoreRole}.
 */
class StoreKnowledgeTests {

	@Test
	void greatAgesAreReduced() {
		assertThat(new StoreKnowledge(StoreRole.READING, Long.MAX_VALUE).confirmedAgeMillis())
			.isEqualTo(StoreKnowledge.UNCONFIRMED_MILLIS);
	}

	@Test
	void negativeAgeIsRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> new StoreKnowledge(StoreRole.READING, -1))
			.withMessageContaining("confirmedAgeMillis");
	}

	@Test
	void confirmationOfAPeerReplacesAnOlderOneOnly() {
		StoreKnowledge knowledge = new StoreKnowledge(StoreRole.FOLLOWING, 500);
		assertThat(knowledge.confirmedBy(300).confirmedAgeMillis()).isEqualTo(300);
		assertThat(knowledge.confirmedBy(900)).isEqualTo(knowledge);
	}

	@Test
	void rolesKeepTheirNumbers() {
		assertThat(StoreRole.ofCode(0)).contains(StoreRole.FOLLOWING);
		assertThat(StoreRole.ofCode(1)).contains(StoreRole.READING);
		assertThat(StoreRole.ofCode(2)).contains(StoreRole.FAILING);
		assertThat(StoreRole.ofCode(3)).isEmpty();
		assertThat(StoreRole.FAILING.takesPlace()).isFalse();
	}

}
