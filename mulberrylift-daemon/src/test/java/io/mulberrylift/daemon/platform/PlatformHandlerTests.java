package io.mulberrylift.daemon.platform;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.daemon.outbound.HttpClientSettings;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.RawHttpServer;
import io.mulberrylift.daemon.outbound.RecordingEventSink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlatformHandler} and {@link ReadBudget}.
 */
class PlatformHandlerTests {

	private static final String LIST = "{\"version\":3,\"publishedAtEpochMillis\":4,\"instances\":[{\"id\":\"i1\","
			+ "\"zone\":\"z1\",\"address\":\"127.0.0.1:1\",\"leaving\":true,\"listedSinceEpochMillis\":5}],"
			+ "\"endpoints\":[{\"id\":\"e1\",\"kind\":\"MODEL\",\"zone\":\"z1\",\"address\":\"127.0.0.1:2\","
			+ "\"targets\":[\"m\"],\"memoryTokens\":6,\"checksFencing\":true,\"leaving\":false,\"new\":1}]}";

	private final AtomicLong nowMillis = new AtomicLong();

	private final ReadBudget budget = new ReadBudget(2, 3, this.nowMillis::get);

	private final OutboundHttpClient client = new OutboundHttpClient(HttpClientSettings.forControl(new ZoneId("z1")));

	private final RecordingEventSink events = new RecordingEventSink();

	@AfterEach
	void close() {
		this.client.close();
	}

	private PlatformHandler handler(RawHttpServer server) {
		return new PlatformHandler(new PlatformSettings(server.address(), server.address(), 5_000), this.client,
				this.budget, (document) -> new ConfigurationCheck.Rejected(document, List.of()), this.events);
	}

	@Test
	void listIsRead() throws Exception {
		try (RawHttpServer server = new RawHttpServer((request, out) -> RawHttpServer.reply(out, 200, "", LIST))) {
			handler(server).handle(new PlatformEffect.ReadList());
			PlatformEvent.ListRead read = this.events.next(PlatformEvent.ListRead.class);
			assertThat(read.list().version()).isEqualTo(3);
			assertThat(read.list().publishedAtEpochMillis()).isEqualTo(4);
			assertThat(read.list().instances().get(0).listedSinceEpochMillis()).isEqualTo(5);
			assertThat(read.list().endpoints().get(0).memoryTokens()).isEqualTo(6);
			assertThat(server.requests().get(0).path()).isEqualTo("/instances");
			assertThat(server.requests().get(0).headers()).containsEntry("from-zone", "z1");
		}
	}

	@Test
	void watchReturnsADocumentOrNoChange() throws Exception {
		try (RawHttpServer server = new RawHttpServer((request, out) -> {
			if (request.path().equals("/configuration?after=1&waitMillis=0")) {
				RawHttpServer.reply(out, 200, "", "{\"version\":2,\"document\":\"{ }\"}");
			}
			else {
				RawHttpServer.write(out, "HTTP/1.1 204 X\r\n\r\n");
			}
		})) {
			PlatformHandler handler = handler(server);
			handler.handle(new PlatformEffect.WatchConfiguration(1, 0));
			PlatformEvent.ConfigurationRead read = this.events.next(PlatformEvent.ConfigurationRead.class);
			assertThat(read.check().document()).isEqualTo(new PublishedDocument(2, "{ }"));
			handler.handle(new PlatformEffect.WatchConfiguration(2, 10));
			this.events.next(PlatformEvent.ConfigurationUnchanged.class);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "{", "null", "{\"version\":1}", "[]",
			"{\"version\":1,\"publishedAtEpochMillis\":2,\"instances\":[{\"id\":\"\"}],\"endpoints\":[]}",
			"{\"version\":1,\"publishedAtEpochMillis\":2,\"instances\":[],\"endpoints\":[{\"id\":\"e\"}]}" })
	void malformedListIsAFailedRead(String body) throws Exception {
		try (RawHttpServer server = new RawHttpServer((request, out) -> RawHttpServer.reply(out, 200, "", body))) {
			handler(server).handle(new PlatformEffect.ReadList());
			assertThat(this.events.next(PlatformEvent.ReadFailed.class).source()).isEqualTo(PlatformEvent.Source.LIST);
		}
	}

	@Test
	void largeListAndLargeDocumentAreFailedReads() throws Exception {
		try (RawHttpServer server = new RawHttpServer((request, out) -> {
			int size = request.path().equals("/instances") ? 8 * 1_024 * 1_024 + 1 : 1_024 * 1_024 + 1;
			RawHttpServer.reply(out, 200, "", "{\"version\":2,\"document\":\"" + "x".repeat(size) + "\"}");
		})) {
			PlatformHandler handler = handler(server);
			handler.handle(new PlatformEffect.ReadList());
			assertThat(this.events.next(PlatformEvent.ReadFailed.class).detail()).contains("larger than");
			handler.handle(new PlatformEffect.WatchConfiguration(1, 0));
			assertThat(this.events.next(PlatformEvent.ReadFailed.class).detail()).contains("larger than 1 MiB");
		}
	}

	@Test
	void atMostOneWatchIsOutstanding() throws Exception {
		CountDownLatch bothRequested = new CountDownLatch(1);
		try (RawHttpServer server = new RawHttpServer((request, out) -> {
			awaitQuietly(bothRequested);
			RawHttpServer.write(out, "HTTP/1.1 204 X\r\n\r\n");
		})) {
			PlatformHandler handler = handler(server);
			handler.handle(new PlatformEffect.WatchConfiguration(1, 10));
			handler.handle(new PlatformEffect.WatchConfiguration(1, 10));
			bothRequested.countDown();
			this.events.next(PlatformEvent.ConfigurationUnchanged.class);
			handler.handle(new PlatformEffect.WatchConfiguration(1, 10));
			this.events.next(PlatformEvent.ConfigurationUnchanged.class);
			assertThat(server.requests()).hasSize(2);
		}
	}

	private static void awaitQuietly(CountDownLatch latch) throws IOException {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	@Test
	void budgetLimitsRepeatedFailingReads() throws Exception {
		try (RawHttpServer server = new RawHttpServer((request, out) -> RawHttpServer.reply(out, 500, "", ""))) {
			PlatformHandler handler = handler(server);
			for (int i = 0; i < 20; i++) {
				handler.handle(new PlatformEffect.ReadList());
				this.events.next(PlatformEvent.ReadFailed.class);
			}
			assertThat(server.requests()).hasSize(3);
			this.nowMillis.addAndGet(500);
			handler.handle(new PlatformEffect.ReadList());
			this.events.next(PlatformEvent.ReadFailed.class);
			handler.handle(new PlatformEffect.ReadList());
			assertThat(this.events.next(PlatformEvent.ReadFailed.class).detail()).contains("budget");
			assertThat(server.requests()).hasSize(4);
		}
	}

	@Test
	void budgetNeverExceedsItsBurst() {
		this.nowMillis.addAndGet(3_600_000);
		int acquired = 0;
		while (this.budget.tryAcquire()) {
			acquired++;
		}
		assertThat(acquired).isEqualTo(3);
	}

}
