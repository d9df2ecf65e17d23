package io.mulberrylift.gateway.loop;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.gateway.peer.DigestCodec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SummaryQueueTests {

	private static final int MAX_BYTES = 1000;

	private final SummaryQueue queue = new SummaryQueue();

	private static EndpointSummary summary(int key, int slots) {
		return new EndpointSummary(key, slots, 0, 0, 0, 0);
	}

	private static Map<Integer, EndpointSummary> current(EndpointSummary... summaries) {
		Map<Integer, EndpointSummary> current = new LinkedHashMap<>();
		Arrays.stream(summaries).forEach((each) -> current.put(each.endpointKey(), each));
		return current;
	}

	private List<Integer> pollKeys(Map<Integer, EndpointSummary> current, int maxBytes, long nowMillis) {
		return this.queue.pollDue(current, maxBytes, nowMillis).stream().map(EndpointSummary::endpointKey).toList();
	}

	@Test
	void unchangedSummariesAreRepublishedBeforePeersExpireThem() {
		assertThat(pollKeys(current(summary(1, 1)), MAX_BYTES, 0)).containsExactly(1);
		assertThat(pollKeys(current(summary(1, 1)), MAX_BYTES, 1000)).isEmpty();
		assertThat(pollKeys(current(summary(1, 1)), MAX_BYTES, 1500)).containsExactly(1);
	}

	@Test
	void newWorkPrecedesEndedWork() {
		pollKeys(current(summary(1, 2), summary(2, 1)), MAX_BYTES, 0);
		Map<Integer, EndpointSummary> later = current(summary(1, 1), summary(2, 2));
		assertThat(this.queue.hasNewWork(later)).isTrue();
		assertThat(pollKeys(later, MAX_BYTES, 10)).containsExactly(2, 1);
		assertThat(this.queue.hasNewWork(later)).isFalse();
	}

	@Test
	void endOfAllWorkIsPublishedOnce() {
		pollKeys(current(summary(1, 2)), MAX_BYTES, 0);
		assertThat(this.queue.pollDue(Map.of(), MAX_BYTES, 10)).containsExactly(summary(1, 0));
		assertThat(this.queue.pollDue(Map.of(), MAX_BYTES, 20)).isEmpty();
	}

	@Test
	void summariesThatDoNotFitFollowInTheNextMessage() {
		int two = 2 * DigestCodec.size(summary(1, 1));
		Map<Integer, EndpointSummary> summaries = current(summary(1, 1), summary(2, 1), summary(3, 1));
		assertThat(pollKeys(summaries, two, 0)).containsExactly(1, 2);
		assertThat(pollKeys(summaries, two, 10)).containsExactly(3);
	}

}
