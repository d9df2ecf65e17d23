package io.mulberrylift.gateway.loop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.forwarding.ClientLimits;
import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.forwarding.ForwardRequest;
import io.mulberrylift.core.forwarding.ForwardedService;
import io.mulberrylift.core.forwarding.ForwardingConfiguration;
import io.mulberrylift.core.forwarding.Gateway;
import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.core.forwarding.GatewayEvent;
import io.mulberrylift.core.forwarding.GatewayIdentity;
import io.mulberrylift.core.forwarding.RequestKind;
import io.mulberrylift.core.forwarding.RetryBounds;
import io.mulberrylift.core.forwarding.Route;
import io.mulberrylift.core.forwarding.RouteTable;
import io.mulberrylift.core.forwarding.WeightedService;
import io.mulberrylift.core.gossip.FullState;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.Membership;
import io.mulberrylift.core.gossip.StoreKnowledge;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.gossip.StoreRole;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.core.placement.WorkTable;
import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.peer.DigestCodec;
import io.mulberrylift.gateway.peer.PeerLink;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GossipSchedulerTests {

	private static final int RATE = 4096;

	private static final long SECONDS = 60;

	private static final long MAX_PUBLISH_DELAY_MILLIS = 2000;

	private final List<InstanceDigest> sent = new ArrayList<>();

	private long sentBytes;

	private final Map<Long, Long> placedMillis = new HashMap<>();

	private final List<Long> delaysMillis = new ArrayList<>();

	private final Map<Integer, Set<Long>> openByEndpoint = new HashMap<>();

	private long nowMillis;

	private int record(InstanceDigest digest, List<String> targets, int maxBytes) {
		this.sent.add(digest);
		byte[] message = DigestCodec.encode(digest, maxBytes);
		try {
			InstanceDigest decoded = DigestCodec.decode("10.0.0.1:7340", message);
			decoded.work().keySet().forEach(this::recordPublished);
			for (EndpointSummary summary : decoded.summaries()) {
				Set<Long> openRequests = this.openByEndpoint.getOrDefault(summary.endpointKey(), Set.of());
				assertThat(summary.slotsInUse()).isEqualTo(openRequests.size());
				openRequests.forEach(this::recordPublished);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		int bytes = targets.size() * (message.length + PeerLink.DATAGRAM_OVERHEAD_BYTES);
		this.sentBytes += bytes;
		return bytes;
	}

	private void recordPublished(long request) {
		Long placed = this.placedMillis.remove(request);
		if (placed != null) {
			this.delaysMillis.add(this.nowMillis - placed);
		}
	}

	private static Gateway gateway(GatewayIdentity identity) {
		Gateway gateway = new Gateway(identity, new SplittableRandom(1));
		Route route = new Route("r", "h", "/", List.of(new WeightedService("s", 1)), RequestKind.IDEMPOTENT, 60_000,
				300, 0, 1, 1, true);
		gateway.reduce(new GatewayEvent.ConfigurationRead(new ForwardingConfiguration(1, new RouteTable(List.of(route)),
				Map.of("s", new ForwardedService("s", 100, Optional.empty())), Map.of(), false, ClientLimits.DEFAULT)),
				0);
		List<ForwardEndpoint> endpoints = new ArrayList<>();
		for (int index = 0; index < 180; index++) {
			endpoints.add(new ForwardEndpoint(new EndpointId("endpoint-" + index), "s", "10.9.0.1", 1000 + index,
					"zone-0", 11, false, 0));
		}
		gateway.reduce(new GatewayEvent.EndpointsRead(endpoints), 0);
		return gateway;
	}

	private void simulate(int instances, int zones, int requestsPerSecond) {
		NetAddress self = new NetAddress("10.0.0.1", 7340);
		GatewayIdentity identity = new GatewayIdentity("i", "zone-0", new RetryBounds(0.2, 10_000, 100), 0, 4000);
		Gateway gateway = gateway(identity);
		Membership membership = new Membership(self.toString(), "zone-0", new SplittableRandom(2));
		GatewaySettings settings = new GatewaySettings(identity, self, self, self, self, List.of(), RATE, 1000);
		GossipScheduler rounds = new GossipScheduler(settings, gateway, membership, this::record,
				() -> new StoreRevision(0, 1), (now) -> new StoreKnowledge(StoreRole.READING, 1000));
		Deque<Placed> open = new ArrayDeque<>();
		long request = 0;
		for (long now = 0; now < SECONDS * 1000; now += 20) {
			this.nowMillis = now;
			if (now % 1000 == 0) {
				receiveFromPeers(membership, instances, zones, now);
			}
			for (long due = now * requestsPerSecond / 1000; request < due; request++) {
				ForwardRequest arrival = new ForwardRequest("a" + request, "h", "/x", Optional.empty(), 60_000, 0, 0,
						request, List.of(), Optional.empty());
				for (GatewayEffect effect : gateway.reduce(new GatewayEvent.RequestArrived(request, arrival), now)) {
					if (effect instanceof GatewayEffect.Send send) {
						int key = EndpointSummary.key(WorkTable.hash(send.endpoint().id()));
						open.addLast(new Placed(request, send.attemptId(), key));
						this.openByEndpoint.computeIfAbsent(key, (any) -> new HashSet<>()).add(request);
						this.placedMillis.put(request, now);
						rounds.requestPlaced(now);
					}
				}
			}
			while (open.size() > 2 * requestsPerSecond) {
				Placed ended = open.removeFirst();
				this.openByEndpoint.get(ended.endpointKey()).remove(ended.request());
				gateway.reduce(new GatewayEvent.AttemptEnded(ended.attemptId(), AttemptOutcome.COMPLETED, 200), now);
			}
			rounds.tick(now);
		}
	}

	private static void receiveFromPeers(Membership membership, int instances, int zones, long now) {
		for (int index = 1; index < instances; index++) {
			FullState state = new FullState("zone-" + index % zones, 1, new StoreRevision(0, 1), Optional.empty(), true,
					List.of(), List.of(), List.of());
			membership.receive(new InstanceDigest("10.1." + index / 200 + "." + index % 200 + ":7340", 1, now + 1,
					Map.of(), List.of(), List.of(), List.of(), Optional.of(state)), now);
		}
	}

	/**
	 * Load: the size that the gateway is designed for, 370 instances in 22 zones with 32
	 * requests per second each.
	 */
	@Test
	void sentBytesStayWithinTheRateAtDesignSize() {
		simulate(370, 22, 32);
		assertThat(this.sentBytes).isPositive().isLessThanOrEqualTo(RATE * (SECONDS + 2));
	}

	@Test
	void fullStatesAreFrequentEnoughToStayLiveAtDesignSize() {
		simulate(370, 22, 32);
		long fullStates = this.sent.stream().filter((digest) -> digest.fullState().isPresent()).count();
		assertThat(SECONDS * 1000.0 / fullStates).isLessThan(Membership.LIVENESS_TIMEOUT_MILLIS);
	}

	/**
	 * Load: a small fleet of 9 instances with 5 requests per second each, where the
	 * shares of the instances must follow within 2 s.
	 */
	@Test
	void placementsOfASmallFleetArePublishedInTime() {
		simulate(9, 3, 5);
		assertThat(this.sentBytes).isLessThanOrEqualTo(RATE * (SECONDS + 2));
		assertThat(this.delaysMillis).hasSizeGreaterThan((int) (SECONDS * 5 * 95 / 100))
			.allMatch((delay) -> delay <= MAX_PUBLISH_DELAY_MILLIS);
	}

	/**
	 * Load: a fleet just above the size of a full view, 18 instances in 3 zones. With few
	 * tracked peers, placements can be published soon.
	 */
	@Test
	void placementsOfAMediumFleetArePublishedSoon() {
		simulate(18, 3, 5);
		assertThat(this.sentBytes).isLessThanOrEqualTo(RATE * (SECONDS + 2));
		long soon = this.delaysMillis.stream().filter((delay) -> delay <= MAX_PUBLISH_DELAY_MILLIS / 4).count();
		assertThat(soon).isGreaterThan(SECONDS * 5 * 3 / 4);
	}

	/**
	 * Load: the design size, at which placements that do not fit are published by the
	 * next full state or not at all.
	 */
	@Test
	void mostPlacementsArePublishedInTimeAtDesignSize() {
		simulate(370, 22, 32);
		long inTime = this.delaysMillis.stream().filter((delay) -> delay <= MAX_PUBLISH_DELAY_MILLIS).count();
		assertThat(inTime).isGreaterThan(SECONDS * 32 / 2);
	}

	private record Placed(long request, long attemptId, int endpointKey) {
	}

}
