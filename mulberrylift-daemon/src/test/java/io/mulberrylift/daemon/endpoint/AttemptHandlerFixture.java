package io.mulberrylift.daemon.endpoint;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.outbound.HttpClientSettings;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.RecordingEventSink;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Test fixture: an attempt handler with one listed endpoint.
 */
final class AttemptHandlerFixture implements AutoCloseable {

	static final EndpointId ENDPOINT = new EndpointId("e1");

	private static final long SEED = 7;

	private static final ZoneId ZONE = new ZoneId("z1");

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final OutboundHttpClient client = new OutboundHttpClient(HttpClientSettings.forRequests(ZONE));

	private final ExchangeTable exchanges = new ExchangeTable();

	final EndpointDirectory directory = new EndpointDirectory();

	final RecordingEventSink events = new RecordingEventSink();

	final AtomicLong nowMillis = new AtomicLong();

	final AtomicLong progressTokens = new AtomicLong();

	final AttemptCanceller canceller = new AttemptCanceller(this.directory, this.client, this.timer, new Random(SEED));

	final AttemptHandler handler = new AttemptHandler(new InstanceIdentity(new InstanceId("i 1"), new ZoneId("z"), 42),
			this.directory, this.exchanges, this.client, this.canceller, this.events,
			(attemptId, accepted) -> this.progressTokens.set(accepted), this.nowMillis::get);

	private long lastAttemptId;

	AttemptHandlerFixture(String address) {
		this.directory.update(new FleetList(1, 0, List.of(), List
			.of(new EndpointDescription(ENDPOINT, WorkKind.MODEL, ZONE, address, Set.of("m"), 1_000, false, false))));
	}

	long dispatch(FakeExchange exchange) {
		return dispatch(exchange, 30_000, 0);
	}

	long dispatchWithoutHolds(FakeExchange exchange) {
		return dispatch(exchange, 30_000, 0, List.of());
	}

	long dispatch(FakeExchange exchange, long timeoutMillis, long notAfterMillis) {
		return dispatch(exchange, timeoutMillis, notAfterMillis, List.of(new AttemptEffect.MemberHold(ENDPOINT, 9)));
	}

	private long dispatch(FakeExchange exchange, long timeoutMillis, long notAfterMillis,
			List<AttemptEffect.MemberHold> holds) {
		this.exchanges.add(exchange);
		this.lastAttemptId++;
		this.handler.handle(new AttemptEffect.Dispatch(this.lastAttemptId, exchange.spec().requestId(), ENDPOINT, 3,
				timeoutMillis, exchange.acceptedTokens(), notAfterMillis, holds));
		return this.lastAttemptId;
	}

	void cancel(long attemptId) {
		this.handler.handle(new AttemptEffect.Cancel(attemptId, ENDPOINT));
	}

	AttemptEvent.Failed expectFailure(AttemptFailure failure) throws InterruptedException {
		AttemptEvent.Failed failed = this.events.next(AttemptEvent.Failed.class);
		assertThat(failed.failure()).as(failed.detail()).isEqualTo(failure);
		return failed;
	}

	@Override
	public void close() {
		this.client.close();
		this.timer.shutdownNow();
	}

}
