package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.gossip.AvoidedEndpoint;
import io.mulberrylift.core.gossip.EndpointLimit;
import io.mulberrylift.core.gossip.FullState;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.limit.BackOffReport;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.limit.RequestLimitReport;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.WorkTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Failure: a process starts again under the identity of an endpoint, which then knows
 * nothing of before. What is believed of the process before must not bind the new one.
 */
class GatewayRestartTests {

	private static final EndpointId RESTARTED = new EndpointId("p1");

	private final GatewayFixture fixture = new GatewayFixture();

	private static ForwardEndpoint started(ForwardEndpoint endpoint, long startedMillis) {
		return new ForwardEndpoint(endpoint.id(), endpoint.service(), endpoint.host(), endpoint.port(), endpoint.zone(),
				endpoint.slots(), endpoint.leaving(), 0, startedMillis);
	}

	private void list(String restarted, long startedMillis) {
		List<ForwardEndpoint> all = new ArrayList<>(GatewayFixture.defaultEndpoints());
		for (int index = 0; index < 16; index++) {
			all.add(GatewayFixture.endpoint("engine-" + index, "engines", false));
		}
		List<ForwardEndpoint> listed = new ArrayList<>();
		for (ForwardEndpoint each : all) {
			listed.add(started(each, each.id().value().equals(restarted) ? startedMillis : 100));
		}
		this.fixture.reduce(new GatewayEvent.EndpointsRead(listed));
	}

	private void notice(long attemptId, EndpointNotices notices) {
		this.fixture.reduce(new GatewayEvent.NoticesReceived(RESTARTED, attemptId, notices));
	}

	private static EndpointNotices leaving() {
		return new EndpointNotices(RequestLimitReport.unlimited(), BackOffReport.none(), true);
	}

	private boolean receivesWork() {
		for (int count = 0; count < 20; count++) {
			this.fixture.arrive("/read/x", 0);
			if (this.fixture.last(GatewayEffect.Send.class).endpoint().id().equals(RESTARTED)) {
				return true;
			}
		}
		return false;
	}

	private GatewayEffect.Send sendToRestarted() {
		assertThat(receivesWork()).isTrue();
		return this.fixture.last(GatewayEffect.Send.class);
	}

	private void peerReports(List<AvoidedEndpoint> avoided, List<EndpointLimit> limits) {
		this.fixture.reduce(new GatewayEvent.DigestReceived(new InstanceDigest("10.0.0.9:7340", 1, 1, Map.of(),
				List.of(), List.of(), List.of(), Optional.of(new FullState("zone-a", 1, new StoreRevision(0, 1),
						Optional.empty(), true, avoided, limits, List.of())))));
	}

	@BeforeEach
	void start() {
		this.fixture.started();
		list("p1", 1000);
	}

	@Test
	void beliefsOfBeforeAreForgotten() {
		notice(0, leaving());
		notice(0, new EndpointNotices(RequestLimitReport.of(0.01), BackOffReport.of(30_000), false));
		assertThat(receivesWork()).isFalse();
		list("p1", 2000);
		assertThat(receivesWork()).isTrue();
		assertThat(this.fixture.gateway.requestLimits()).isEmpty();
		assertThat(this.fixture.logged("endpoint-restarted")).containsEntry("started", 2000L)
			.containsEntry("started-before", 1000L);
		assertThat(this.fixture.all(GatewayEffect.DiscardConnections.class))
			.contains(new GatewayEffect.DiscardConnections(RESTARTED));
	}

	@Test
	void faultsAndWorkOfBeforeAreForgotten() {
		for (int count = 0; count < 3; count++) {
			this.fixture.end(sendToRestarted().attemptId(), AttemptOutcome.SILENT);
			this.fixture.advance(5000);
		}
		long attempt = sendToRestarted().attemptId();
		list("p1", 2000);
		assertThat(this.fixture.gateway.avoidedEndpoints(this.fixture.nowMillis)).isEmpty();
		assertThat(this.fixture.gateway.ownWork(this.fixture.nowMillis).values())
			.noneMatch((work) -> work.endpointHash() == WorkTable.hash(RESTARTED));
		this.fixture.end(attempt, AttemptOutcome.BROKEN);
		assertThat(this.fixture.gateway.avoidedEndpoints(this.fixture.nowMillis)).isEmpty();
	}

	@Test
	void lateAnswerOfTheProcessBeforeBindsNothing() {
		long attempt = sendToRestarted().attemptId();
		list("p1", 2000);
		notice(attempt, leaving());
		assertThat(receivesWork()).isTrue();
	}

	@Test
	void sameStartForgetsNothing() {
		notice(0, leaving());
		list("p1", 1000);
		assertThat(receivesWork()).isFalse();
	}

	@Test
	void endpointThatWasNotListedInBetweenIsKnownToHaveStartedAgain() {
		long attempt = sendToRestarted().attemptId();
		this.fixture.reduce(new GatewayEvent.EndpointsRead(List.of(GatewayFixture.endpoint("p2", "plain", false))));
		list("p1", 2000);
		assertThat(this.fixture.logged("endpoint-restarted")).containsEntry("started-before", 1000L);
		this.fixture.end(attempt, AttemptOutcome.BROKEN);
		assertThat(this.fixture.gateway.avoidedEndpoints(this.fixture.nowMillis)).isEmpty();
	}

	/** The peer has not learned of the start yet. */
	@Test
	void reportsOfPeersOnTheProcessBeforeAreIgnored() {
		list("p1", 2000);
		this.fixture.advance(300);
		peerReports(List.of(new AvoidedEndpoint(WorkTable.hash(RESTARTED), 3900)),
				List.of(new EndpointLimit(WorkTable.hash(RESTARTED), Optional.of(0.01), 900)));
		assertThat(receivesWork()).isTrue();
		assertThat(this.fixture.gateway.requestLimits()).isEmpty();
	}

	@Test
	void reportsOfPeersOnTheProcessNowCount() {
		list("p1", 2000);
		this.fixture.advance(4100);
		peerReports(List.of(new AvoidedEndpoint(WorkTable.hash(RESTARTED), 3900)),
				List.of(new EndpointLimit(WorkTable.hash(RESTARTED), Optional.of(2.0), 100)));
		assertThat(this.fixture.gateway.requestLimits()).containsKey(RESTARTED);
		assertThat(receivesWork()).isFalse();
	}

	/** A renewal would reserve memory at the new process that no request uses. */
	@Test
	void reservationsOfBeforeAreNeitherRenewedNorReleased() {
		this.fixture.arrive("/long/x", 700_000);
		this.fixture.grantReservations();
		GatewayEffect.ReserveMemory reserved = this.fixture.all(GatewayEffect.ReserveMemory.class).get(1);
		this.fixture.effects.clear();
		list(reserved.endpoint().id().value(), 2000);
		for (int step = 0; step < 20; step++) {
			this.fixture.advance(100);
		}
		this.fixture.reduce(new GatewayEvent.CallerDisconnected(1));
		assertThat(this.fixture.all(GatewayEffect.ReserveMemory.class)).isNotEmpty()
			.noneMatch((each) -> each.endpoint().id().equals(reserved.endpoint().id()));
		assertThat(this.fixture.all(GatewayEffect.ReleaseMemory.class)).isNotEmpty()
			.noneMatch((each) -> each.endpoint().id().equals(reserved.endpoint().id()));
	}

	@Test
	void promptWhoseReservationIsLostWhileItWaitsIsRefused() {
		this.fixture.arrive("/long/x", 700_000);
		String engine = this.fixture.all(GatewayEffect.ReserveMemory.class).get(0).endpoint().id().value();
		list(engine, 2000);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.OVERLOADED);
	}

	/** Evidence is about requests, whatever process runs under the identity now. */
	@Test
	void evidenceAgainstARequestThatCrashesEndpointsRemains() {
		for (int count = 0; count < 3; count++) {
			this.fixture.arrive("/post/x", 0);
			GatewayEffect.Send send = this.fixture.last(GatewayEffect.Send.class);
			this.fixture.advance(50);
			this.fixture.end(send.attemptId(), AttemptOutcome.BROKEN);
			list(send.endpoint().id().value(), 2000 + count);
			this.fixture.advance(6000);
		}
		assertThat(this.fixture.logged("endpoint-restarted")).isNotEmpty();
		assertThat(this.fixture.gateway.describe(this.fixture.nowMillis)).doesNotContainEntry("suspects", 0);
	}

}
