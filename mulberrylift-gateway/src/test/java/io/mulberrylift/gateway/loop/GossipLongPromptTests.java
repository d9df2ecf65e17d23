package io.mulberrylift.gateway.loop;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

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
import io.mulberrylift.core.limit.FleetView;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EngineCostModel;
import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.peer.DigestCodec;
import io.mulberrylift.gateway.peer.PeerLink;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: long prompts beside short answers in fleets that publish summaries.
 */
class GossipLongPromptTests {

	private static final int RATE = 4096;

	private static final EngineCostModel MODEL = new EngineCostModel(1.31, 0.000917, 0.00213, 154, 0.162, 2048, 38,
			344_250);

	private final List<InstanceDigest> sent = new ArrayList<>();

	private final List<Integer> targetCounts = new ArrayList<>();

	private final NetAddress self = new NetAddress("10.0.0.1", 7340);

	private final GatewayIdentity identity = new GatewayIdentity("i", "zone-0", new RetryBounds(0.2, 10_000, 100), 0,
			4000);

	private final Gateway gateway = new Gateway(this.identity, new SplittableRandom(1));

	private final Membership membership = new Membership(this.self.toString(), "zone-0", new SplittableRandom(2));

	private final GossipScheduler rounds = new GossipScheduler(
			new GatewaySettings(this.identity, this.self, this.self, this.self, this.self, List.of(), RATE, 1000),
			this.gateway, this.membership, this::record, () -> new StoreRevision(0, 1),
			(now) -> new StoreKnowledge(StoreRole.READING, 1000));

	private int record(InstanceDigest digest, List<String> targets, int maxBytes) {
		this.sent.add(digest);
		this.targetCounts.add(targets.size());
		return targets.size() * (DigestCodec.encode(digest, maxBytes).length + PeerLink.DATAGRAM_OVERHEAD_BYTES);
	}

	private void start(int instances) {
		List<Route> routes = List.of(route("short", "/s/", 300, 250), route("long", "/l/", 4000, 1000));
		this.gateway.reduce(new GatewayEvent.ConfigurationRead(new ForwardingConfiguration(1, new RouteTable(routes),
				Map.of("s", new ForwardedService("s", 100, Optional.of(MODEL))), Map.of(), false,
				ClientLimits.DEFAULT)), 0);
		List<ForwardEndpoint> endpoints = new ArrayList<>();
		for (int index = 0; index < 45; index++) {
			endpoints.add(new ForwardEndpoint(new EndpointId("endpoint-" + index), "s", "10.9.0.1", 1000 + index,
					"zone-" + index % 3, 8, false, 0));
		}
		this.gateway.reduce(new GatewayEvent.EndpointsRead(endpoints), 0);
		for (int index = 1; index < instances; index++) {
			FullState state = new FullState("zone-" + index % 3, 1, new StoreRevision(0, 1), Optional.empty(), true,
					List.of(), List.of(), List.of());
			this.membership.receive(new InstanceDigest("10.1." + index / 200 + "." + index % 200 + ":7340", 1, 1,
					Map.of(), List.of(), List.of(), List.of(), Optional.of(state)), 0);
		}
		this.gateway.setLiveInstances(instances);
		this.gateway.setPartialView(this.membership.isPartial());
		for (long now = 0; now <= 3000; now += 20) {
			this.rounds.tick(now);
		}
		this.sent.clear();
		this.targetCounts.clear();
	}

	private static Route route(String name, String path, long firstMillis, long gapMillis) {
		return new Route(name, "h", path, List.of(new WeightedService("s", 1)), RequestKind.RESUMABLE_STREAM, 60_000,
				firstMillis, gapMillis, 2, 1, true);
	}

	private long place(long request, String path, long tokens, long nowMillis) {
		ForwardRequest arrival = new ForwardRequest("a" + request, "h", path, Optional.empty(), 10_000, tokens, 500,
				request, List.of(), Optional.empty());
		for (GatewayEffect effect : this.gateway.reduce(new GatewayEvent.RequestArrived(request, arrival), nowMillis)) {
			if (effect instanceof GatewayEffect.Send send) {
				this.rounds.requestPlaced(nowMillis);
				return send.attemptId();
			}
		}
		throw new AssertionError("not sent");
	}

	@Test
	void longPromptIsToldToAllZonesOfAMediumFleetAtOnce() {
		start(24);
		long attempt = place(1, "/l/", 200_000, 3010);
		assertThat(this.sent).hasSize(1);
		assertThat(this.sent.get(0).work()).containsOnlyKeys(1L);
		assertThat(this.targetCounts).containsExactly(23);
		this.gateway.reduce(new GatewayEvent.AnswerChunk(attempt), 3100);
		this.rounds.tick(3120);
		assertThat(this.sent.get(1).work().get(1L).decoding()).isTrue();
	}

	/**
	 * Load: bursts in all zones of a large fleet, where the division by zone made answers
	 * late; engines are not divided there.
	 */
	@Test
	void largeFleetIsNotDivided() {
		start(75);
		place(1, "/l/", 200_000, 3010);
		assertThat(this.sent).isEmpty();
		assertThat(this.gateway.fleetFigures(3010).demand()).isEmpty();
		assertThat(this.gateway.individualWork(3010)).isEmpty();
		assertThat(this.gateway.engineRoom()).containsEntry("short_engines", 0L).containsEntry("long_engines", 0L);
	}

	/** Failure: an instance of a large fleet hears few of the others within seconds. */
	@Test
	void largeFleetOfWhichFewInstancesAreHeardIsNotDivided() {
		start(29);
		Set<String> zone = new HashSet<>(Set.of(this.self.toString()));
		for (int index = 1; index < 25; index++) {
			zone.add("10.0.1." + index + ":7340");
		}
		this.gateway.setFleet(
				new FleetView(this.self.toString(), "zone-a", zone, Set.of("zone-a", "zone-b", "zone-c"), true), 3000);
		place(1, "/l/", 200_000, 3010);
		assertThat(this.sent).isEmpty();
		assertThat(this.gateway.individualWork(3010)).isEmpty();
	}

	@Test
	void shortAnswerIsNotToldIndividually() {
		start(24);
		place(1, "/s/", 5000, 3010);
		assertThat(this.sent).isEmpty();
	}

	/** Failure: the byte rate is used up, or the message is lost. */
	@Test
	void fullStateRepeatsLongPromptsInProgress() {
		start(24);
		place(1, "/l/", 200_000, 3010);
		this.sent.clear();
		for (long now = 3020; now <= 6000; now += 20) {
			this.rounds.tick(now);
		}
		assertThat(this.sent).filteredOn((digest) -> digest.fullState().isPresent())
			.isNotEmpty()
			.allMatch((digest) -> digest.work().containsKey(1L))
			.allMatch((digest) -> !digest.fullState().get().figures().demand().isEmpty());
	}

}
