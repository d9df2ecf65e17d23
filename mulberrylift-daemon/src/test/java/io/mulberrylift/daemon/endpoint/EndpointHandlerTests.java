package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.daemon.outbound.HttpClientSettings;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.RawHttpServer;
import io.mulberrylift.daemon.outbound.RecordingEventSink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointHandler}.
 */
class EndpointHandlerTests {

	private static final EndpointId ENGINE = new EndpointId("e1");

	private static final EndpointId SERVICE = new EndpointId("s1");

	private static final long SECOND_READ_MILLIS = 200;

	private static final ZoneId ZONE = new ZoneId("z1");

	private static final HoldDescription HOLD = new HoldDescription(9, new InstanceId("i/1"), 42, 1_000, 500);

	private final OutboundHttpClient client = new OutboundHttpClient(HttpClientSettings.forControl(ZONE));

	private final EndpointDirectory directory = new EndpointDirectory();

	private final RecordingEventSink events = new RecordingEventSink();

	private final EndpointHandler handler = new EndpointHandler(this.directory, this.client, this.events);

	@AfterEach
	void close() {
		this.client.close();
	}

	private RawHttpServer serve(RawHttpServer.Script script) throws IOException {
		RawHttpServer server = new RawHttpServer(script);
		list(server.address());
		return server;
	}

	private void list(String address) {
		this.directory.update(new FleetList(1, 0, List.of(), List.of(
				new EndpointDescription(ENGINE, WorkKind.MODEL, ZONE, address, Set.of("m"), 1, true, false),
				new EndpointDescription(SERVICE, WorkKind.SERVICE, ZONE, address, Set.of("s"), 0, false, false))));
	}

	private static String load(int incarnation, String cache) {
		return "{\"incarnation\":" + incarnation + ",\"runningRequests\":2,\"queuedRequests\":3,"
				+ "\"queuedPromptTokens\":4,\"usedMemoryTokens\":5,\"draining\":true,\"loadedModels\":[\"m\"],"
				+ "\"role\":\"x\",\"ageMillis\":6" + cache + "}";
	}

	private static String cache(int sequence, String added) {
		return ",\"cache\":{\"sequence\":" + sequence + ",\"complete\":true,\"added\":[" + added
				+ "],\"evicted\":[\"ffffffffffffffff\"]}";
	}

	private void readLoad(EndpointId endpoint) {
		this.handler.handle(new EndpointEffect.ReadLoad(endpoint));
	}

	@Test
	void loadAndCacheAreReportedAndTheNextReadContinues() throws Exception {
		try (RawHttpServer engine = serve(
				(request, out) -> RawHttpServer.reply(out, 200, "", load(1, cache(8, "\"000000000000000a\""))))) {
			readLoad(ENGINE);
			EndpointEvent.LoadReported load = this.events.next(EndpointEvent.LoadReported.class);
			assertThat(load.report().usedMemoryTokens()).isEqualTo(5);
			assertThat(load.report().draining()).isTrue();
			EndpointEvent.CacheChanged cache = this.events.next(EndpointEvent.CacheChanged.class);
			assertThat(cache.complete()).isTrue();
			assertThat(cache.addedBlocks()).containsExactly(10L);
			assertThat(cache.evictedBlocks()).containsExactly(-1L);
			readLoad(ENGINE);
			this.events.next(EndpointEvent.LoadReported.class);
			assertThat(engine.requests().get(0).path()).isEqualTo("/engine/v1/load?cacheAfter=0");
			assertThat(engine.requests().get(1).path()).isEqualTo("/engine/v1/load?cacheAfter=8");
			assertThat(engine.requests().get(1).headers()).containsEntry("from-zone", "z1");
		}
	}

	@Test
	void restartedEngineInvalidatesTheCache() throws Exception {
		try (RawHttpServer engine = serve((request, out) -> RawHttpServer.reply(out, 200, "",
				load(request.path().endsWith("cacheAfter=0") ? 1 : 2, cache(8, ""))))) {
			readLoad(ENGINE);
			this.events.next(EndpointEvent.LoadReported.class);
			this.events.next(EndpointEvent.CacheChanged.class);
			readLoad(ENGINE);
			this.events.next(EndpointEvent.LoadReported.class);
			EndpointEvent.CacheChanged invalidated = this.events.next(EndpointEvent.CacheChanged.class);
			assertThat(invalidated.complete()).isFalse();
			assertThat(invalidated.evictedBlocks()).isEmpty();
			readLoad(ENGINE);
			this.events.next(EndpointEvent.LoadReported.class);
			assertThat(engine.requests().get(2).path()).isEqualTo("/engine/v1/load?cacheAfter=0");
		}
	}

	@Test
	void serviceReportsLoadWithoutCache() throws Exception {
		try (RawHttpServer service = serve((request, out) -> RawHttpServer.reply(out, 200, "", load(1, "")))) {
			readLoad(SERVICE);
			this.events.next(EndpointEvent.LoadReported.class);
			assertThat(service.requests().get(0).path()).isEqualTo("/service/v1/load");
			assertThat(this.events.pending()).isEmpty();
		}
	}

	@Test
	void oneReadIsOutstandingPerEndpoint() throws Exception {
		CountDownLatch replyAllowed = new CountDownLatch(1);
		try (RawHttpServer engine = serve((request, out) -> {
			awaitQuietly(replyAllowed);
			RawHttpServer.reply(out, 200, "", load(1, ""));
		})) {
			readLoad(ENGINE);
			readLoad(ENGINE);
			Thread.sleep(SECOND_READ_MILLIS);
			assertThat(engine.requests()).hasSizeLessThan(2);
			replyAllowed.countDown();
			this.events.next(EndpointEvent.LoadReported.class);
			readLoad(ENGINE);
			this.events.next(EndpointEvent.LoadReported.class);
			assertThat(engine.requests()).hasSize(2);
		}
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	void refusedConnectionIsDistinguishedFromABrokenOne() throws Exception {
		try (RawHttpServer engine = serve((request, out) -> request.socket().close())) {
			readLoad(ENGINE);
			assertThat(this.events.next(EndpointEvent.Unreachable.class).connectionRefused()).isFalse();
			assertThat(engine.requests()).hasSize(1);
		}
		try (ServerSocket socket = new ServerSocket(0)) {
			list("127.0.0.1:" + socket.getLocalPort());
		}
		readLoad(ENGINE);
		assertThat(this.events.next(EndpointEvent.Unreachable.class).connectionRefused()).isTrue();
	}

	@Test
	void malformedLoadIsUnreachable() throws Exception {
		try (RawHttpServer engine = serve(
				(request, out) -> RawHttpServer.reply(out, 200, "", load(1, cache(8, "\"not hex\""))))) {
			readLoad(ENGINE);
			assertThat(this.events.next(EndpointEvent.Unreachable.class).connectionRefused()).isFalse();
			assertThat(engine.requests()).hasSize(1);
		}
	}

	@Test
	void holdsAreAcquiredListedAndReleased() throws Exception {
		try (RawHttpServer engine = serve((request, out) -> {
			switch (request.method()) {
				case "PUT" -> RawHttpServer.reply(out, 201, "", "");
				case "DELETE" -> RawHttpServer.write(out, "HTTP/1.1 204 X\r\n\r\n");
				default -> RawHttpServer.reply(out, 200, "", "{\"holds\":[{\"holdId\":9,\"owner\":\"i/1\","
						+ "\"ownerIncarnation\":42,\"tokens\":1000,\"expiresInMillis\":500}]}");
			}
		})) {
			this.handler.handle(new EndpointEffect.AcquireHold(ENGINE, HOLD));
			assertThat(this.events.next(EndpointEvent.HoldAnswered.class).granted()).isTrue();
			this.handler.handle(new EndpointEffect.ListHolds(ENGINE));
			assertThat(this.events.next(EndpointEvent.HoldsListed.class).holds()).containsExactly(HOLD);
			this.handler.handle(new EndpointEffect.ReleaseHold(ENGINE, HOLD));
			assertThat(this.events.next(EndpointEvent.HoldReleased.class).hold()).isEqualTo(HOLD);
			assertThat(engine.requests().get(0).path()).isEqualTo("/engine/v1/holds/i%2F1/42/9");
			assertThat(engine.requests().get(0).body()).isEqualTo("{\"tokens\":1000,\"expiresInMillis\":500}");
			assertThat(engine.requests().get(2).path()).isEqualTo("/engine/v1/holds/i%2F1/42/9");
		}
	}

	@Test
	void conflictRefusesAHoldAndAnErrorIsReportedAsUnanswered() throws Exception {
		try (RawHttpServer engine = serve(
				(request, out) -> RawHttpServer.reply(out, request.method().equals("PUT") ? 409 : 500, "", "{}"))) {
			this.handler.handle(new EndpointEffect.AcquireHold(ENGINE, HOLD));
			assertThat(this.events.next(EndpointEvent.HoldAnswered.class).granted()).isFalse();
			this.handler.handle(new EndpointEffect.ReleaseHold(ENGINE, HOLD));
			assertThat(this.events.next(EndpointEvent.HoldUnanswered.class).holdId()).isEqualTo(9);
			assertThat(engine.requests()).hasSize(2);
		}
	}

	@Test
	void releaseOnAnUnlistedEndpointIsReportedAsUnanswered() throws Exception {
		this.handler.handle(new EndpointEffect.ReleaseHold(ENGINE, HOLD));
		assertThat(this.events.next(EndpointEvent.HoldUnanswered.class).holdId()).isEqualTo(9);
	}

	@Test
	void orderIsObeyedOrRefused() throws Exception {
		EngineOrder order = new EngineOrder(EngineOrder.Kind.LOAD_MODEL, "m", "v2", 7);
		try (RawHttpServer engine = serve((request, out) -> {
			boolean obeyed = request.body().contains("\"fencingNumber\":7");
			RawHttpServer.reply(out, obeyed ? 200 : 409, "", "{\"obeyed\":" + obeyed + ",\"highestFencingNumber\":7}");
		})) {
			this.handler.handle(new EndpointEffect.SendOrder(ENGINE, order));
			assertThat(this.events.next(EndpointEvent.OrderAnswered.class).executed()).isTrue();
			this.handler.handle(new EndpointEffect.SendOrder(ENGINE,
					new EngineOrder(EngineOrder.Kind.CHANGE_ROLE, "decode", "", 6)));
			EndpointEvent.OrderAnswered refused = this.events.next(EndpointEvent.OrderAnswered.class);
			assertThat(refused.executed()).isFalse();
			assertThat(refused.highestFencingNumber()).isEqualTo(7);
			assertThat(engine.requests().get(0).body())
				.isEqualTo("{\"kind\":\"LOAD_MODEL\",\"subject\":\"m\",\"version\":\"v2\",\"fencingNumber\":7}");
		}
	}

}
