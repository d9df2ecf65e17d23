package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.mulberrylift.core.gossip.CrashObservation;
import io.mulberrylift.core.gossip.RequestAttribute;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests of one instance to endpoints that end or send too much.
 */
class GatewayCrashTests {

	private final GatewayFixture fixture = new GatewayFixture();

	private void listPlainEndpoints(int count) {
		this.fixture.reduce(new GatewayEvent.EndpointsRead(IntStream.rangeClosed(1, count)
			.mapToObj((index) -> GatewayFixture.endpoint("p" + index, "plain", false))
			.toList()));
	}

	@Test
	void requestThatCrashedThreeEndpointsIsIsolated() {
		this.fixture.started();
		for (int hash = 1; hash <= 3; hash++) {
			this.fixture.reduce(new GatewayEvent.CrashesReported("10.0.0.9:1",
					List.of(new CrashObservation(RequestAttribute.ofRequest(42), Optional.of(hash), 0))));
		}
		this.fixture.arrive("/read/x", 0);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.ISOLATED);
		this.fixture.arrive("/read/x", 0, Optional.of("key-1"), 43);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(1);
	}

	/**
	 * Failure: an endpoint that ended and came back under its identity counted once.
	 */
	@Test
	void everyEndOfAnEndpointThatKeepsItsIdentityCounts() {
		this.fixture.started();
		listPlainEndpoints(1);
		for (int crash = 0; crash < 3; crash++) {
			this.fixture.arrive("/read/x", 0);
			this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.BROKEN);
			this.fixture.advance(5000);
		}
		this.fixture.arrive("/read/x", 0);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(3);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.ISOLATED);
	}

	/**
	 * Failure: an end of an endpoint was not counted if the caller of the request had
	 * left.
	 */
	@Test
	void endOfAnEndpointCountsAfterTheCallerDisconnected() {
		this.fixture.started();
		listPlainEndpoints(4);
		for (int crash = 0; crash < 3; crash++) {
			long request = this.fixture.arrive("/post/x", 0);
			this.fixture.reduce(new GatewayEvent.CallerDisconnected(request));
			this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.BROKEN);
		}
		this.fixture.arrive("/post/x", 0);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(3);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).cause()).isEqualTo(RefusalCause.ISOLATED);
	}

	/**
	 * Failure: a request was isolated for the ends of endpoints on which it had run
	 * beside others, although it was answered elsewhere.
	 */
	@Test
	void requestThatWasAnsweredIsNotIsolatedForEarlierEndsOfEndpoints() {
		this.fixture.started();
		listPlainEndpoints(4);
		for (int crash = 0; crash < 4; crash++) {
			this.fixture.arrive("/read/x", 0);
			this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.BROKEN);
			this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.COMPLETED);
		}
		assertThat(this.fixture.all(GatewayEffect.Refuse.class)).isEmpty();
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).hasSize(4);
	}

	/**
	 * Failure: endpoints that send bytes without end were chosen again and again, so that
	 * one in ten requests met two of them.
	 */
	@Test
	void requestsAreServedBesideEndpointsThatSendTooMuch() {
		this.fixture.started();
		listPlainEndpoints(8);
		for (int count = 0; count < 800; count++) {
			this.fixture.arrive("/read/x", 0);
			for (int attempt = 0; attempt < 2; attempt++) {
				GatewayEffect.Send send = this.fixture.last(GatewayEffect.Send.class);
				boolean endless = List.of("p1", "p2").contains(send.endpoint().id().value());
				this.fixture.end(send.attemptId(), (endless) ? AttemptOutcome.OVERSIZED : AttemptOutcome.COMPLETED);
			}
			this.fixture.advance(10);
		}
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).hasSizeGreaterThan(792);
	}

}
