package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Set;

import io.mulberrylift.core.gossip.RequestAttribute;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CrashCulpritsTests {

	private static final RequestAttribute REQUEST = RequestAttribute.ofRequest(1);

	private static final RequestAttribute PART = RequestAttribute.ofPromptPart(2);

	private static final RequestAttribute OTHER_PART = RequestAttribute.ofPromptPart(3);

	private static CrashSuspect suspect(RequestAttribute attribute, int... endpoints) {
		CrashSuspect suspect = new CrashSuspect(attribute);
		for (int endpoint : endpoints) {
			suspect.add(new EndpointLoss(endpoint, 1000 + 10 * endpoint));
		}
		return suspect;
	}

	private static List<RequestAttribute> isolated(Set<RequestAttribute> answered, CrashSuspect... suspects) {
		CrashCulprits culprits = new CrashCulprits(List.of(suspects), answered::contains);
		return List.of(REQUEST, PART, OTHER_PART)
			.stream()
			.filter((attribute) -> culprits.isolatedFromMillis(attribute).isPresent())
			.toList();
	}

	@Test
	void attributeIsIsolatedFromItsThirdLossOn() {
		CrashCulprits culprits = new CrashCulprits(List.of(suspect(PART, 3, 1, 2), suspect(OTHER_PART, 8, 9)),
				(attribute) -> false);
		assertThat(culprits.isolatedFromMillis(PART)).hasValue(1030L);
		assertThat(culprits.isolatedCount(1029)).isZero();
		assertThat(culprits.isolatedCount(1030)).isEqualTo(1);
		assertThat(culprits.isolatedFromMillis(OTHER_PART)).isEmpty();
		assertThat(culprits.isSuspected(OTHER_PART)).isTrue();
	}

	@Test
	void attributeThatWasAnsweredBeforeIsIsolatedASecondLater() {
		CrashCulprits culprits = new CrashCulprits(List.of(suspect(PART, 1, 2, 3)), (attribute) -> true);
		assertThat(culprits.isolatedFromMillis(PART)).hasValue(2030L);
		assertThat(culprits.isSuspected(PART)).isFalse();
	}

	/**
	 * Failure: a part that a few other requests contain would have been isolated with the
	 * part that ends endpoints beside it.
	 */
	@Test
	void lossesThatAnotherAttributeExplainsDoNotCount() {
		assertThat(isolated(Set.of(), suspect(PART, 1, 2, 3, 4), suspect(OTHER_PART, 2, 3, 4))).containsExactly(PART);
		assertThat(isolated(Set.of(), suspect(PART, 1, 2, 3, 4), suspect(OTHER_PART, 4, 5, 6, 7))).containsExactly(PART,
				OTHER_PART);
	}

	@Test
	void attributeThatWasNeverAnsweredExplainsLossesOfOneThatWas() {
		assertThat(isolated(Set.of(OTHER_PART), suspect(PART, 1, 2, 3), suspect(OTHER_PART, 1, 2, 3)))
			.containsExactly(PART);
		assertThat(isolated(Set.of(OTHER_PART), suspect(PART, 1, 2, 3), suspect(OTHER_PART, 1, 2, 3, 4, 5)))
			.containsExactly(PART);
	}

	@Test
	void equalRequestsExplainTheLossesOfTheirParts() {
		assertThat(isolated(Set.of(), suspect(PART, 1, 2, 3), suspect(REQUEST, 1, 2, 3))).containsExactly(REQUEST);
		assertThat(isolated(Set.of(), suspect(PART, 1, 2, 3, 4), suspect(REQUEST, 1, 2, 3))).containsExactly(PART);
	}

}
