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

	private static final int ROOM = 1000;

	private final SummaryQueue queue = new SummaryQueue();

	private static EndpointSummary sum(int key, int slots) {
		return new EndpointSummary(key, slots, 0, 0, 0, 0);
	}

	private static Map<Integer, EndpointSummary> current(EndpointSummary... sums) {
		Map<Integer, EndpointSummary> current = new LinkedHashMap<>();
		Arrays.stream(sums).forEach((each) -> current.put(each.endpointKey(), each));
		return current;
	}

	private List<Integer> keys(Map<Integer, EndpointSummary> current, int room, long nowMillis) {
		return this.queue.take(current, room, nowMillis).stream().map(EndpointSummary::endpointKey).toList();
	}

	@Test
	void unchangedSumsAreRepeatedBeforePeersForgetThem() {
		assertThat(keys(current(sum(1, 1)), ROOM, 0)).containsExactly(1);
		assertThat(keys(current(sum(1, 1)), ROOM, 1000)).isEmpty();
		assertThat(keys(current(sum(1, 1)), ROOM, 1500)).containsExactly(1);
	}

	@Test
	void newWorkGoesBeforeWorkThatIsOver() {
		keys(current(sum(1, 2), sum(2, 1)), ROOM, 0);
		Map<Integer, EndpointSummary> later = current(sum(1, 1), sum(2, 2));
		assertThat(this.queue.hasNews(later)).isTrue();
		assertThat(keys(later, ROOM, 10)).containsExactly(2, 1);
		assertThat(this.queue.hasNews(later)).isFalse();
	}

	@Test
	void endOfAllWorkIsToldOnce() {
		keys(current(sum(1, 2)), ROOM, 0);
		assertThat(this.queue.take(Map.of(), ROOM, 10)).containsExactly(sum(1, 0));
		assertThat(this.queue.take(Map.of(), ROOM, 20)).isEmpty();
	}

	@Test
	void whatDoesNotFitComesNextTime() {
		int two = 2 * DigestCodec.size(sum(1, 1));
		Map<Integer, EndpointSummary> sums = current(sum(1, 1), sum(2, 1), sum(3, 1));
		assertThat(keys(sums, two, 0)).containsExactly(1, 2);
		assertThat(keys(sums, two, 10)).containsExactly(3);
	}

}
