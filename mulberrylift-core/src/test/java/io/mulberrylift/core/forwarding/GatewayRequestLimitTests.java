package io.mulberrylift.core.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.mulberrylift.core.gossip.EndpointLimit;
import io.mulberrylift.core.gossip.FullState;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.limit.RequestLimitReport;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.WorkTable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests of one instance, alone in its fleet, to endpoints that name limits.
 */
class GatewayRequestLimitTests {

	private final GatewayFixture fixture = new GatewayFixture().started();

	private void limit(String endpoint, double requestsPerSecond) {
		this.fixture.reduce(new GatewayEvent.NoticesReceived(new EndpointId(endpoint), 0,
				EndpointNotices.of(RequestLimitReport.of(requestsPerSecond))));
	}

	private List<GatewayEffect.Send> sendsTo(String endpoint) {
		return this.fixture.all(GatewayEffect.Send.class)
			.stream()
			.filter((send) -> send.endpoint().id().value().equals(endpoint))
			.toList();
	}

	@Test
	void requestsGoToEndpointsWithoutALimitOnceItIsUsedUp() {
		limit("p1", 1);
		for (int count = 0; count < 100; count++) {
			this.fixture.advance(100);
			this.fixture.arrive("/read/x", 0);
		}
		assertThat(sendsTo("p1")).hasSizeBetween(1, 10);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(100);
	}

	@Test
	void requestIsRefusedAtOnceUntilALimitHasRoom() {
		limit("p1", 0.5);
		limit("p2", 0.25);
		this.fixture.arrive("/post/x", 0);
		GatewayEffect.Refuse refuse = this.fixture.last(GatewayEffect.Refuse.class);
		assertThat(refuse.cause()).isEqualTo(RefusalCause.ENDPOINTS_LIMITED);
		assertThat(refuse.cause().status()).isEqualTo(503);
		assertThat(refuse.retryAfterMillis())
			.hasValueSatisfying((millis) -> assertThat(millis).isBetween(2000L, 4000L));
		assertThat(this.fixture.all(GatewayEffect.Send.class)).isEmpty();
		this.fixture.advance(2000);
		this.fixture.arrive("/post/x", 0);
		assertThat(sendsTo("p1")).hasSize(1);
	}

	/**
	 * Failure: an endpoint's error would be replaced by one of the gateway if the only
	 * other endpoint may not be used.
	 */
	@Test
	void errorOfAnEndpointIsDeliveredIfNoOtherOneMayBeUsed() {
		limit("p1", 0);
		this.fixture.arrive("/read/x", 0);
		this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.ENDPOINT_ERROR);
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).hasSize(1);
		assertThat(this.fixture.all(GatewayEffect.Refuse.class)).isEmpty();
		assertThat(sendsTo("p1")).isEmpty();
	}

	@Test
	void requestThatMayHaveRunIsNotRefusedAsNotRunBecauseOfALimit() {
		limit("p1", 0);
		this.fixture.arrive("/read/x", 0);
		this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.BROKEN);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.FAILED);
	}

	@Test
	void helpersOfAPromptCountAsRequests() {
		this.fixture.listEngines(6);
		for (int engine = 0; engine < 6; engine++) {
			limit("engine-" + engine, 1);
		}
		this.fixture.advance(1000);
		this.fixture.arrive("/long/x", 300_000);
		GatewayEffect.Send send = this.fixture.last(GatewayEffect.Send.class);
		assertThat(send.helpers()).isNotEmpty();
		this.fixture.arrive("/long/x", 300_000);
		Set<EndpointId> used = new HashSet<>(send.helpers().stream().map((helper) -> helper.endpoint().id()).toList());
		used.add(send.endpoint().id());
		GatewayEffect.Send second = this.fixture.last(GatewayEffect.Send.class);
		if (second != send) {
			assertThat(used).doesNotContain(second.endpoint().id());
			assertThat(second.helpers()).noneMatch((helper) -> used.contains(helper.endpoint().id()));
		}
	}

	@Test
	void memoryIsReservedOnEnginesWithoutALimitIfThereAreEnough() {
		this.fixture.listEngines(8);
		limit("engine-0", 100);
		limit("engine-1", 100);
		this.fixture.advance(1000);
		this.fixture.arrive("/long/x", 900_000);
		assertThat(this.fixture.all(GatewayEffect.ReserveMemory.class)).isNotEmpty()
			.extracting((each) -> each.endpoint().id().value())
			.doesNotContain("engine-0", "engine-1");
	}

	@Test
	void reservedMemoryIsRenewedAndReleasedWhateverTheLimit() {
		this.fixture.listEngines(16);
		this.fixture.arrive("/long/x", 900_000);
		this.fixture.grantReservations();
		int engines = this.fixture.all(GatewayEffect.ReserveMemory.class).size();
		for (int engine = 0; engine < 16; engine++) {
			limit("engine-" + engine, 0);
		}
		this.fixture.advance(1400);
		assertThat(this.fixture.all(GatewayEffect.ReserveMemory.class)).hasSize(2 * engines);
		this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.COMPLETED);
		assertThat(this.fixture.all(GatewayEffect.ReleaseMemory.class)).hasSize(engines);
	}

	@Test
	void changesOfALimitAreLoggedAndPublished() {
		limit("p1", 2);
		assertThat(this.fixture.logged("request-limit")).containsEntry("per-second", 2.0)
			.containsEntry("before", -1.0)
			.containsEntry("source", "control-call");
		assertThat(this.fixture.all(GatewayEffect.PublishState.class)).hasSize(1);
		limit("p1", 2);
		assertThat(this.fixture.all(GatewayEffect.PublishState.class)).hasSize(1);
		assertThat(this.fixture.gateway.pollPublishedLimits(5, this.fixture.nowMillis))
			.containsExactly(new EndpointLimit(WorkTable.hash(new EndpointId("p1")), Optional.of(2.0), 0));
		assertThat(this.fixture.gateway.describe(this.fixture.nowMillis)).containsEntry("limits", "{p1=2.0}");
	}

	@Test
	void malformedLimitIsLoggedOnce() {
		for (int count = 0; count < 3; count++) {
			this.fixture.reduce(new GatewayEvent.NoticesReceived(new EndpointId("p1"), 0,
					EndpointNotices.of(RequestLimitReport.malformed("soon"))));
		}
		assertThat(this.fixture.all(GatewayEffect.Log.class)
			.stream()
			.filter((line) -> line.event().equals("request-limit-malformed"))).hasSize(1);
		assertThat(this.fixture.gateway.requestLimits()).isEmpty();
	}

	@Test
	void limitOfAPeerIsAppliedUnlessAnOwnAnswerIsNewer() {
		this.fixture.reduce(new GatewayEvent.DigestReceived(digest(1, Optional.of(3.0), 100)));
		assertThat(this.fixture.gateway.requestLimits()).containsEntry(new EndpointId("p1"), 3.0);
		this.fixture.advance(1000);
		limit("p1", 1);
		this.fixture.reduce(new GatewayEvent.DigestReceived(digest(2, Optional.empty(), 500)));
		assertThat(this.fixture.gateway.requestLimits()).containsEntry(new EndpointId("p1"), 1.0);
		this.fixture.advance(1000);
		this.fixture.reduce(new GatewayEvent.DigestReceived(digest(3, Optional.empty(), 200)));
		assertThat(this.fixture.gateway.requestLimits()).isEmpty();
	}

	private static InstanceDigest digest(long sequence, Optional<Double> limit, long ageMillis) {
		EndpointLimit published = new EndpointLimit(WorkTable.hash(new EndpointId("p1")), limit, ageMillis);
		return new InstanceDigest("peer", 1, sequence, Map.of(), List.of(), List.of(), List.of(),
				Optional.of(new FullState("zone-a", 1, StoreRevision.NONE, Optional.empty(), true, List.of(),
						List.of(published), List.of())));
	}

}
