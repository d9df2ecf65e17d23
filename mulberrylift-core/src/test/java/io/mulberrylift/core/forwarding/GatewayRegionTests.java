package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.mulberrylift.core.gossip.RelayPeer;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: requests whose route or workspace must stay within regions, at an instance that
 * knows endpoints and peers of two regions and of a zone whose region it does not know.
 */
class GatewayRegionTests {

	private static final Map<String, String> REGIONS = Map.of("zone-a", "north", "zone-b", "south", "zone-c", "south");

	private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c", "zone-unknown");

	private static final int ENGINES_PER_ZONE = 4;

	private final GatewayFixture fixture = new GatewayFixture();

	private static Route restricted(Route route, List<String> regions) {
		return new Route(route.name(), route.host(), route.pathPrefix(), route.services(), route.kind(),
				route.timeoutMillis(), route.firstByteTargetMillis(), route.gapTargetMillis(), route.maxAttempts(),
				route.priority(), route.publicAccess(), regions);
	}

	private static ForwardEndpoint endpoint(String service, String zone, int index) {
		String id = service + "-" + zone + "-" + index;
		return new ForwardEndpoint(new EndpointId(id), service, "10.0.0.1", 1024 + Math.floorMod(id.hashCode(), 40_000),
				zone, 8, false, 0);
	}

	@BeforeEach
	void start() {
		this.fixture
			.reduce(new GatewayEvent.LimitsRead(new GatewayIdentity("instance-1", "zone-a", new RetryBounds(1, 1, 1000),
					2600, 4000, new GatewayTerms(Optional.empty(), Optional.empty(), REGIONS))));
		List<ForwardEndpoint> listed = new ArrayList<>();
		for (String zone : ZONES) {
			for (int index = 0; index < ENGINES_PER_ZONE; index++) {
				listed.add(endpoint("engines", zone, index));
				listed.add(endpoint("plain", zone, index));
			}
		}
		this.fixture.reduce(new GatewayEvent.EndpointsRead(listed));
	}

	private void configure(List<String> byRoute, List<String> byWorkspace) {
		List<Route> routes = GatewayFixture.defaultRoutes().stream().map((each) -> restricted(each, byRoute)).toList();
		ForwardingConfiguration plain = GatewayFixture.configuration(1, routes);
		this.fixture.reduce(new GatewayEvent.ConfigurationRead(new ForwardingConfiguration(1, plain.routes(),
				plain.services(), plain.workspacesByKey(), true, ClientLimits.DEFAULT,
				Map.of("workspace-1", new WorkspaceTerms(Optional.empty(), byWorkspace)))));
	}

	private Set<String> zonesSentTo() {
		Set<String> zones = this.fixture.all(GatewayEffect.Send.class)
			.stream()
			.map((send) -> send.endpoint().zone())
			.collect(Collectors.toSet());
		this.fixture.all(GatewayEffect.Send.class)
			.forEach((send) -> send.helpers().forEach((helper) -> zones.add(helper.endpoint().zone())));
		this.fixture.all(GatewayEffect.ReserveMemory.class).forEach((each) -> zones.add(each.endpoint().zone()));
		return zones;
	}

	private void playLoad() {
		for (int count = 0; count < 60; count++) {
			this.fixture.arrive("/read/x", 0);
			this.fixture.arrive("/stream/x", 3000);
			if (count % 10 == 0) {
				this.fixture.arrive("/long/x", 150_000);
				this.fixture.arrive("/long/x", 700_000);
				this.fixture.grantReservations();
			}
			this.fixture.advance(40);
		}
	}

	@Test
	void requestsOfARestrictedRouteAndTheirHelpersAndMemoryStayInItsRegions() {
		configure(List.of("south"), List.of());
		playLoad();
		assertThat(zonesSentTo()).containsExactlyInAnyOrder("zone-b", "zone-c");
	}

	@Test
	void requestsOfARestrictedWorkspaceStayInItsRegions() {
		configure(List.of(), List.of("north"));
		playLoad();
		assertThat(zonesSentTo()).containsExactly("zone-a");
	}

	@Test
	void restrictionsOfRouteAndWorkspaceBothBind() {
		configure(List.of("north", "south"), List.of("north", "west"));
		playLoad();
		assertThat(zonesSentTo()).containsExactly("zone-a");
	}

	@Test
	void requestWithoutAnyPermittedEndpointIsRefusedAtOnceWithATimeToReturn() {
		configure(List.of("south"), List.of("north"));
		this.fixture.gateway.setRelayPeers(List.of(new RelayPeer("10.0.0.2:7340", false, "zone-b")));
		this.fixture.arrive("/read/x", 0);
		this.fixture.arrive("/long/x", 700_000);
		assertThat(this.fixture.all(GatewayEffect.Refuse.class)).hasSize(2).allSatisfy((refusal) -> {
			assertThat(refusal.cause()).isEqualTo(RefusalCause.NO_ENDPOINT);
			assertThat(refusal.retryAfterMillis()).isPresent();
		});
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).isEmpty();
	}

	@Test
	void unrestrictedRequestsUseAllZones() {
		configure(List.of(), List.of());
		playLoad();
		assertThat(zonesSentTo()).containsExactlyInAnyOrderElementsOf(ZONES);
	}

	@Test
	void retriesAndMovedStreamsStayInTheRegions() {
		configure(List.of("south"), List.of());
		for (int count = 0; count < 20; count++) {
			this.fixture.arrive("/stream/x", 3000);
			long attempt = this.fixture.last(GatewayEffect.Send.class).attemptId();
			if (count % 2 == 0) {
				this.fixture.end(attempt, AttemptOutcome.REFUSED_FULL);
			}
			else {
				this.fixture.reduce(new GatewayEvent.AnswerChunk(attempt));
			}
			for (int step = 0; step < 60; step++) {
				this.fixture.advance(100);
			}
		}
		assertThat(this.fixture.logged("stream-stalled")).isNotEmpty();
		assertThat(zonesSentTo()).isSubsetOf("zone-b", "zone-c");
	}

	/** Failure: the link to all endpoints is cut, so that requests go to peers. */
	@Test
	void bodiesAreHandedOnlyToPeersInTheRegions() {
		configure(List.of("south"), List.of());
		this.fixture.gateway.setRelayPeers(
				List.of(new RelayPeer("10.0.0.2:7340", true, "zone-a"), new RelayPeer("10.0.0.3:7340", false, "zone-b"),
						new RelayPeer("10.0.0.4:7340", false, "zone-unknown"), new RelayPeer("10.0.0.5:7340", false)));
		for (int count = 0; count < 20; count++) {
			this.fixture.arrive("/read/x", 0);
			for (int failures = 0; failures < 3; failures++) {
				this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.NOT_CONNECTED);
			}
			this.fixture.advance(50);
		}
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).isNotEmpty()
			.allSatisfy((relay) -> assertThat(relay.peer()).isEqualTo("10.0.0.3:7340"));
	}

}
