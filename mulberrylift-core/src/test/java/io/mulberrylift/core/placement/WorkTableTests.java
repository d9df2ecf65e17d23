package io.mulberrylift.core.placement;

import java.util.List;
import java.util.Map;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkTableTests {

	private final ForwardEndpoint busy = endpoint("busy");

	private final ForwardEndpoint free = endpoint("free");

	private final WorkTable table = new WorkTable();

	private static ForwardEndpoint endpoint(String name) {
		return new ForwardEndpoint(new EndpointId(name), "s", "10.0.0.1", 80, "a", 8, false, 0);
	}

	private static RequestWork plain(ForwardEndpoint endpoint) {
		return new RequestWork(false, 0, 0, 0, 0, 1000, 1000, 1, WorkTable.hash(endpoint.id()), List.of());
	}

	private EndpointSummary summary(int slots) {
		int key = EndpointSummary.key(WorkTable.hash(this.busy.id()));
		return new EndpointSummary(key, slots, 0, 0, 0, 0);
	}

	private List<Integer> slotsTaken() {
		return this.table.view(List.of(this.busy, this.free)).stream().map(EndpointWork::slotsInUse).toList();
	}

	/**
	 * Load: a large fleet, whose instances publish summaries. The view counts them in
	 * addition to this instance's work.
	 */
	@Test
	void summariesOfPeersAreAddedToOwnWork() {
		this.table.put(1, plain(this.busy));
		this.table.applyPeerSummaries("p", List.of(summary(3)), 0);
		this.table.applyPeerSummaries("q", List.of(summary(2)), 0);
		assertThat(slotsTaken()).containsExactly(6, 0);
	}

	@Test
	void newerSummaryReplacesTheOlderOne() {
		this.table.applyPeerSummaries("p", List.of(summary(3)), 0);
		this.table.applyPeerSummaries("p", List.of(), 10);
		assertThat(slotsTaken()).containsExactly(3, 0);
		this.table.applyPeerSummaries("p", List.of(summary(0)), 20);
		assertThat(slotsTaken()).containsExactly(0, 0);
	}

	@Test
	void summariesExpireUnlessTheyAreRepeated() {
		this.table.applyPeerSummaries("p", List.of(summary(3)), 0);
		this.table.expire(WorkTable.PEER_REPORT_TTL_MILLIS);
		assertThat(slotsTaken()).containsExactly(3, 0);
		this.table.expire(WorkTable.PEER_REPORT_TTL_MILLIS + 1);
		assertThat(slotsTaken()).containsExactly(0, 0);
	}

	/**
	 * Fault: links lose messages. The change that reports the end of a request is lost.
	 */
	@Test
	void nextFullReportRepairsALostMessageOfChanges() {
		this.table.replacePeerWork("p", Map.of(1L, plain(this.busy)), 0);
		this.table.applyPeerChanges("p", Map.of(3L, plain(this.free)), List.of(), 20);
		assertThat(slotsTaken()).containsExactly(1, 1);
		this.table.replacePeerWork("p", Map.of(3L, plain(this.free)), 1200);
		assertThat(slotsTaken()).containsExactly(0, 1);
	}

	@Test
	void ownSummariesOmitEndpointsWithoutWork() {
		this.table.put(1, plain(this.busy));
		this.table.put(2, plain(this.busy));
		EndpointSummary expected = summary(2);
		assertThat(this.table.ownSummaries(0)).isEqualTo(Map.of(expected.endpointKey(), expected));
		this.table.remove(1);
		this.table.remove(2);
		assertThat(this.table.ownSummaries(0)).isEmpty();
	}

}
