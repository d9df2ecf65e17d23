package io.mulberrylift.core.placement;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class EndpointSummaryTests {

	private static final int HASH = 987_654_321;

	private static WorkItem item(WorkPhase phase, double prefillMillis, long memoryTokens, long gapTargetMillis) {
		return new WorkItem(HASH, phase, prefillMillis, 1, memoryTokens, gapTargetMillis, 5000,
				1000 + (long) prefillMillis, 2);
	}

	@Test
	void summaryCountsSlotsDecodingRequestsPrefillAndMemory() {
		EndpointSummary summary = EndpointSummary.of(7, List.of(item(WorkPhase.DECODE, 0, 3000, 200),
				item(WorkPhase.PREFILL, 400, 20_000, 800), item(WorkPhase.HELPER_PREFILL, 300, 0, 100)), 1000);
		assertThat(summary).isEqualTo(new EndpointSummary(7, 2, 1, 700, 23_000, 200));
	}

	@Test
	void itemsAddUpToTheSummary() {
		EndpointSummary summary = new EndpointSummary(EndpointSummary.key(HASH), 3, 1, 800, 30_000, 200);
		List<WorkItem> items = summary.items(HASH, 1000);
		assertThat(items).hasSize(3).allMatch((each) -> each.endpointHash() == HASH);
		assertThat(EndpointSummary.of(EndpointSummary.key(HASH), items, 1000)).isEqualTo(summary);
	}

	@Test
	void helperPrefillOccupiesNoSlot() {
		EndpointSummary summary = new EndpointSummary(7, 0, 0, 500, 4000, 0);
		assertThat(summary.items(HASH, 0)).singleElement().matches((item) -> item.phase() == WorkPhase.HELPER_PREFILL);
		assertThat(EndpointSummary.of(7, summary.items(HASH, 0), 0)).isEqualTo(summary);
	}

	@Test
	void summaryWithMoreSlotsOrMemoryExceedsAnother() {
		EndpointSummary published = new EndpointSummary(7, 2, 1, 700, 23_000, 200);
		assertThat(new EndpointSummary(7, 3, 1, 0, 0, 200).exceeds(published)).isTrue();
		assertThat(new EndpointSummary(7, 2, 1, 0, 24_000, 200).exceeds(published)).isTrue();
		assertThat(published.exceeds(published)).isFalse();
		assertThat(new EndpointSummary(7, 0, 0, 0, 0, 0).isEmpty()).isTrue();
	}

	@Test
	void moreDecodingRequestsThanSlotsAreRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> new EndpointSummary(7, 1, 2, 0, 0, 0));
	}

}
