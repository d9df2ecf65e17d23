package io.mulberrylift.core.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.mulberrylift.core.limit.BackOffReport;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests of one instance to endpoints that want none for a time.
 */
class GatewayBackOffTests {

	/** Time after the answer within which requests may still arrive. */
	private static final long UNDER_WAY_MILLIS = 500;

	private final GatewayFixture fixture = new GatewayFixture().started();

	private void backOff(String endpoint, long millis) {
		this.fixture.reduce(new GatewayEvent.NoticesReceived(new EndpointId(endpoint), 0,
				EndpointNotices.of(BackOffReport.of(millis))));
	}

	private long sendsTo(String endpoint) {
		return this.fixture.all(GatewayEffect.Send.class)
			.stream()
			.filter((send) -> send.endpoint().id().value().equals(endpoint)
					|| send.helpers().stream().anyMatch((helper) -> helper.endpoint().id().value().equals(endpoint)))
			.count();
	}

	/**
	 * Failure: an endpoint that wanted no requests for a time got more than before,
	 * because it had no work.
	 */
	@Test
	void endpointGetsNoRequestsUntilItsBackOffEnds() {
		backOff("p1", 3000);
		for (int count = 0; count < 50; count++) {
			this.fixture.arrive("/read/x", 0);
			this.fixture.advance(58);
		}
		assertThat(sendsTo("p1")).isZero();
		assertThat(sendsTo("p2")).isEqualTo(50);
		this.fixture.advance(200);
		this.fixture.arrive("/read/x", 0);
		assertThat(sendsTo("p1")).isEqualTo(1);
	}

	/**
	 * Failure: callers were told to come back long before any endpoint accepted requests.
	 */
	@Test
	void requestIsRefusedAtOnceUntilTheFirstBackOffEnds() {
		backOff("p1", 3000);
		backOff("p2", 2000);
		this.fixture.advance(500);
		this.fixture.arrive("/read/x", 0);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).isEmpty();
		GatewayEffect.Refuse refuse = this.fixture.last(GatewayEffect.Refuse.class);
		assertThat(refuse.cause().status()).isEqualTo(503);
		assertThat(refuse.retryAfterMillis())
			.hasValueSatisfying((millis) -> assertThat(millis).isBetween(1500L, 2500L));
	}

	/** Failure: as above, for a request that the last free endpoint turned away. */
	@Test
	void requestThatTheOnlyEndpointTurnsAwayIsToldWhenItAcceptsRequests() {
		this.fixture.reduce(new GatewayEvent.EndpointsRead(List.of(GatewayFixture.endpoint("p1", "plain", false))));
		this.fixture.arrive("/read/x", 0);
		backOff("p1", 2000);
		this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.REFUSED_FULL);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(1);
		assertThat(this.fixture.last(GatewayEffect.Refuse.class).retryAfterMillis())
			.hasValueSatisfying((millis) -> assertThat(millis).isBetween(2000L, 3000L));
	}

	@Test
	void shorterBackOffDoesNotEndALongerOne() {
		backOff("p1", 3000);
		backOff("p1", 100);
		this.fixture.advance(2000);
		this.fixture.arrive("/read/x", 0);
		this.fixture.arrive("/read/x", 0);
		assertThat(sendsTo("p1")).isZero();
	}

	@Test
	void backOffEndsWhenTheEndpointIsNoLongerListed() {
		backOff("p1", 3000);
		this.fixture.reduce(new GatewayEvent.EndpointsRead(List.of(GatewayFixture.endpoint("p2", "plain", false))));
		this.fixture.reduce(new GatewayEvent.EndpointsRead(GatewayFixture.defaultEndpoints()));
		this.fixture.arrive("/read/x", 0);
		this.fixture.arrive("/read/x", 0);
		assertThat(sendsTo("p1")).isEqualTo(1);
	}

	@Test
	void malformedBackOffChangesNothing() {
		this.fixture.reduce(new GatewayEvent.NoticesReceived(new EndpointId("p1"), 0,
				EndpointNotices.of(BackOffReport.malformed("soon"))));
		this.fixture.arrive("/read/x", 0);
		this.fixture.arrive("/read/x", 0);
		assertThat(sendsTo("p1")).isEqualTo(1);
		assertThat(this.fixture.logged("back-off-malformed")).containsEntry("value", "soon");
	}

	/** Failure: as for requests, for parts of prompts and for reservations of memory. */
	@Test
	void neitherPartsNorReservationsGoToAnEndpointThatBacksOff() {
		this.fixture.listEngines(8);
		backOff("engine-0", 3000);
		backOff("engine-1", 3000);
		this.fixture.arrive("/long/x", 900_000);
		this.fixture.grantReservations();
		this.fixture.arrive("/long/x", 300_000);
		assertThat(this.fixture.all(GatewayEffect.Send.class).get(0).helpers()).isNotEmpty();
		assertThat(this.fixture.all(GatewayEffect.ReserveMemory.class)).isNotEmpty()
			.extracting((each) -> each.endpoint().id().value())
			.doesNotContain("engine-0", "engine-1");
		assertThat(sendsTo("engine-0") + sendsTo("engine-1")).isZero();
	}

	/**
	 * Failure: renewals and releases of reserved memory went on while the engine wanted
	 * no requests.
	 */
	@Test
	void reservedMemoryIsKeptWithAlmostNoCallsDuringABackOff() {
		this.fixture.listEngines(4);
		this.fixture.arrive("/long/x", 600_000);
		this.fixture.grantReservations();
		this.fixture.arrive("/long/x", 600_000);
		this.fixture.grantReservations();
		Set<String> engines = new HashSet<>();
		this.fixture.all(GatewayEffect.ReserveMemory.class)
			.forEach((each) -> engines.add(each.endpoint().id().value()));
		this.fixture.advance(700);
		this.fixture.effects.clear();
		engines.forEach((engine) -> backOff(engine, 3000));
		for (long millis = 0; millis < UNDER_WAY_MILLIS; millis += 20) {
			this.fixture.advance(20);
		}
		List<GatewayEffect.ReserveMemory> renewals = this.fixture.all(GatewayEffect.ReserveMemory.class);
		// The time until 3.5 s is longer than a reservation lasts.
		assertThat(renewals).isNotEmpty()
			.extracting(GatewayEffect.ReserveMemory::reservationName)
			.doesNotHaveDuplicates();
		this.fixture.effects.clear();
		for (long millis = UNDER_WAY_MILLIS; millis < 2960; millis += 20) {
			this.fixture.advance(20);
		}
		for (String engine : engines) {
			assertThat(this.fixture.all(GatewayEffect.ReserveMemory.class)
				.stream()
				.filter((each) -> each.endpoint().id().value().equals(engine))).as(engine).hasSizeLessThanOrEqualTo(2);
		}
		for (long millis = 0; millis < 500; millis += 20) {
			this.fixture.advance(20);
		}
		assertThat(this.fixture.all(GatewayEffect.ReserveMemory.class)
			.stream()
			.map(GatewayEffect.ReserveMemory::reservationName))
			.containsAll(renewals.stream().map(GatewayEffect.ReserveMemory::reservationName).toList());
	}

	@Test
	void backOffIsLoggedAndShown() {
		backOff("p1", 3000);
		assertThat(this.fixture.logged("back-off-requested")).containsEntry("millis", 3000L)
			.containsEntry("endpoint", new EndpointId("p1"));
		assertThat(this.fixture.gateway.describe(this.fixture.nowMillis)).containsEntry("back-offs", "{p1=3000}");
	}

}
