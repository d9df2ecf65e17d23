package io.mulberrylift.core.forwarding;

import java.util.List;

import io.mulberrylift.core.limit.BackOffReport;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.limit.RequestLimitReport;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests of one instance to endpoints that report that they are leaving.
 */
class GatewayLeavingTests {

	private final GatewayFixture fixture = new GatewayFixture();

	private void reportLeaving(String endpoint) {
		this.fixture.reduce(new GatewayEvent.NoticesReceived(new EndpointId(endpoint), 0,
				new EndpointNotices(RequestLimitReport.unlimited(), BackOffReport.none(), true)));
	}

	private long sendsTo(String endpoint) {
		return this.fixture.all(GatewayEffect.Send.class)
			.stream()
			.filter((send) -> send.endpoint().id().value().equals(endpoint))
			.count();
	}

	/** Failure: only the list was believed when an endpoint said that it was leaving. */
	@Test
	void endpointThatReportsThatItIsLeavingGetsNoNewWorkWhileItIsListed() {
		this.fixture.started();
		reportLeaving("p1");
		reportLeaving("p1");
		assertThat(this.fixture.logged("endpoint-leaving")).containsEntry("source", "answer");
		assertThat(this.fixture.all(GatewayEffect.DiscardConnections.class)).hasSize(1);
		this.fixture.reduce(new GatewayEvent.EndpointsRead(GatewayFixture.defaultEndpoints()));
		for (int count = 0; count < 100; count++) {
			this.fixture.arrive("/read/x", 0);
			this.fixture.advance(1000);
		}
		assertThat(sendsTo("p1")).isZero();
		assertThat(sendsTo("p2")).isEqualTo(100);
	}

	@Test
	void endpointThatIsStillListedLongAfterItReportedThatItIsLeavingIsUsedAgain() {
		this.fixture.started();
		reportLeaving("p1");
		this.fixture.advance(121_000);
		this.fixture.arrive("/read/x", 0);
		this.fixture.arrive("/read/x", 0);
		assertThat(sendsTo("p1")).isEqualTo(1);
	}

	@Test
	void endpointThatIsListedAnewIsUsedAlthoughItReportedThatItIsLeaving() {
		this.fixture.started();
		reportLeaving("p1");
		this.fixture.reduce(new GatewayEvent.EndpointsRead(List.of(GatewayFixture.endpoint("p2", "plain", false))));
		this.fixture.reduce(new GatewayEvent.EndpointsRead(GatewayFixture.defaultEndpoints()));
		this.fixture.arrive("/read/x", 0);
		this.fixture.arrive("/read/x", 0);
		assertThat(sendsTo("p1")).isEqualTo(1);
	}

}
