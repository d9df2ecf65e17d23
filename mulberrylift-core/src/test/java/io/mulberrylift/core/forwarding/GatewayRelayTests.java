package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.gossip.RelayPeer;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that one instance hands to its peers or receives from them.
 */
class GatewayRelayTests {

	private static final RelayPeer NEAR = new RelayPeer("10.0.0.2:7340", true);

	private static final RelayPeer FAR = new RelayPeer("10.0.0.3:7340", false);

	private final GatewayFixture fixture = new GatewayFixture();

	@BeforeEach
	void start() {
		this.fixture.started();
		this.fixture.gateway.setRelayPeers(List.of(FAR, NEAR));
	}

	private void end(AttemptOutcome outcome) {
		this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), outcome);
	}

	private void endRelay(AttemptOutcome outcome) {
		this.fixture.end(this.fixture.last(GatewayEffect.Relay.class).attemptId(), outcome);
	}

	private void arriveFromPeer(RelayTerms terms) {
		this.fixture.reduce(new GatewayEvent.RequestArrived(900, new ForwardRequest("a", "api.example", "/read/x",
				Optional.of("key-1"), 5000, 0, 0, 42, List.of(), Optional.of(terms))));
	}

	@Test
	void requestGoesToAPeerAfterTwoFailuresToConnect() {
		this.fixture.arrive("/post/x", 0);
		end(AttemptOutcome.NOT_CONNECTED);
		end(AttemptOutcome.NOT_CONNECTED);
		GatewayEffect.Relay relay = this.fixture.last(GatewayEffect.Relay.class);
		assertThat(relay.peer()).isEqualTo(NEAR.address());
		assertThat(relay.terms()).isEqualTo(new RelayTerms(2, 1));
		endRelay(AttemptOutcome.COMPLETED);
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).hasSize(1);
	}

	@Test
	void refusedRequestGoesToAPeerOfAnotherZoneAndIsThenRefused() {
		this.fixture.arrive("/post/x", 0);
		end(AttemptOutcome.NOT_CONNECTED);
		end(AttemptOutcome.NOT_CONNECTED);
		endRelay(AttemptOutcome.REFUSED_FULL);
		assertThat(this.fixture.last(GatewayEffect.Relay.class).peer()).isEqualTo(FAR.address());
		endRelay(AttemptOutcome.REFUSED_FULL);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.NOT_RUN);
	}

	@Test
	void requestThatMayHaveRunAtAPeerIsNotHandedToAnotherOne() {
		this.fixture.arrive("/post/x", 0);
		end(AttemptOutcome.NOT_CONNECTED);
		end(AttemptOutcome.NOT_CONNECTED);
		endRelay(AttemptOutcome.BROKEN);
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).hasSize(1);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.FAILED);
	}

	/**
	 * Failure: requests that all endpoints had turned away were handed to peers, which
	 * sent them to endpoints that wanted none.
	 */
	@Test
	void requestThatEndpointsTurnedAwayIsNotHandedToPeers() {
		this.fixture.arrive("/read/x", 0);
		end(AttemptOutcome.REFUSED_FULL);
		end(AttemptOutcome.REFUSED_FULL);
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).isEmpty();
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.NOT_RUN);
	}

	@Test
	void requestOfAPeerIsNotHandedOn() {
		arriveFromPeer(new RelayTerms(2, 1));
		end(AttemptOutcome.NOT_CONNECTED);
		end(AttemptOutcome.NOT_CONNECTED);
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).isEmpty();
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause().status()).isEqualTo(503);
	}

	@Test
	void requestOfAPeerIsSentToAsManyEndpointsAsItLeaves() {
		arriveFromPeer(new RelayTerms(1, 1));
		end(AttemptOutcome.BROKEN);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(1);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.FAILED);
	}

	@Test
	void requestOfAPeerWithANewerConfigurationIsRefused() {
		arriveFromPeer(new RelayTerms(2, 2));
		assertThat(this.fixture.all(GatewayEffect.Send.class)).isEmpty();
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.NOT_READY);
	}

	/**
	 * Failure: the end of an attempt of a peer, after the caller had left, was taken for
	 * the loss of an endpoint that the request was never sent to.
	 */
	@Test
	void endOfARelayAfterTheCallerDisconnectedSaysNothingAboutEndpoints() {
		long request = this.fixture.arrive("/post/x", 0);
		end(AttemptOutcome.NOT_CONNECTED);
		end(AttemptOutcome.NOT_CONNECTED);
		this.fixture.reduce(new GatewayEvent.CallerDisconnected(request));
		endRelay(AttemptOutcome.BROKEN);
		assertThat(this.fixture.logged("endpoint-lost")).isEmpty();
	}

	@Test
	void cutLinkIsProbedOnceASecondAndUsedAgainAfterAConnection() {
		for (int request = 0; request < 2; request++) {
			this.fixture.arrive("/post/x", 0);
			end(AttemptOutcome.NOT_CONNECTED);
			end(AttemptOutcome.NOT_CONNECTED);
		}
		assertThat(this.fixture.gateway.reachesEndpoints()).isFalse();
		this.fixture.effects.clear();
		this.fixture.arrive("/post/x", 0);
		assertThat(this.fixture.all(GatewayEffect.ProbeEndpoint.class)).isEmpty();
		this.fixture.advance(1000);
		this.fixture.arrive("/post/x", 0);
		this.fixture.arrive("/post/x", 0);
		assertThat(this.fixture.all(GatewayEffect.ProbeEndpoint.class)).hasSize(1);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).isEmpty();
		this.fixture.reduce(new GatewayEvent.ConnectionEstablished(new EndpointId("p1")));
		assertThat(this.fixture.gateway.reachesEndpoints()).isTrue();
		this.fixture.arrive("/post/x", 0);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(1);
	}

	private void relayStream() {
		this.fixture.arrive("/stream/x", 5000);
		end(AttemptOutcome.NOT_CONNECTED);
		end(AttemptOutcome.NOT_CONNECTED);
	}

	/**
	 * Failure: a stream that a peer had was lost at its deadline, since the peer was
	 * suspended for 4.4 s (soak, seed 11).
	 */
	@Test
	void streamOfASilentPeerIsHandedToAnotherPeerBeforeItsCallerDisconnects() {
		relayStream();
		GatewayEffect.Relay first = this.fixture.last(GatewayEffect.Relay.class);
		this.fixture.reduce(new GatewayEvent.AnswerChunk(first.attemptId()));
		this.fixture.advance(1400);
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).hasSize(1);
		this.fixture.advance(200);
		assertThat(this.fixture.last(GatewayEffect.CancelAttempt.class).attemptId()).isEqualTo(first.attemptId());
		assertThat(this.fixture.last(GatewayEffect.Relay.class).peer()).isEqualTo(FAR.address());
		this.fixture.end(first.attemptId(), AttemptOutcome.COMPLETED);
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).isEmpty();
		endRelay(AttemptOutcome.COMPLETED);
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).hasSize(1);
	}

	@Test
	void slowStreamOfAPeerIsNotCut() {
		relayStream();
		GatewayEffect.Relay first = this.fixture.last(GatewayEffect.Relay.class);
		for (int chunk = 0; chunk < 5; chunk++) {
			this.fixture.advance(1400);
			this.fixture.reduce(new GatewayEvent.AnswerChunk(first.attemptId()));
		}
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).hasSize(1);
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class)).isEmpty();
	}

	@Test
	void requestThatMustNotRunTwiceWaitsForItsSilentPeer() {
		this.fixture.arrive("/once-stream/x", 5000);
		end(AttemptOutcome.NOT_CONNECTED);
		end(AttemptOutcome.NOT_CONNECTED);
		this.fixture.advance(3000);
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).hasSize(1);
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class)).isEmpty();
	}

}
