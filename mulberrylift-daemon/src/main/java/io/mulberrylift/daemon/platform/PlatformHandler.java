package io.mulberrylift.daemon.platform;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.event.PlatformEvent.Source;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.daemon.loop.EffectHandler;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.outbound.HttpReply;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.ReplyCallback;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.support.BasicRequestBuilder;

/**
 * Reads the instance list and watches the configuration.
 *
 * <p>
 * Safe for use by several threads. At most one read of each kind is outstanding; an
 * effect that requests another one meanwhile is ignored, because the outstanding read
 * answers it. Every other effect produces exactly one event. A call beyond the read
 * budget is not sent and is reported as failed.
 * </p>
 */
public final class PlatformHandler implements EffectHandler<PlatformEffect> {

	private static final int MAX_LIST_BYTES = 8 * 1_024 * 1_024;

	private static final int MAX_VALUE_BYTES = 1_024 * 1_024;

	// JSON escapes a character in at most six bytes.
	private static final int MAX_CONFIGURATION_BYTES = 6 * MAX_VALUE_BYTES + 1_024;

	private static final int STATUS_OK = 200;

	private static final int STATUS_NO_CONTENT = 204;

	private final PlatformSettings settings;

	private final OutboundHttpClient client;

	private final ReadBudget budget;

	private final Function<PublishedDocument, ConfigurationCheck> checker;

	private final EventSink events;

	private final AtomicBoolean listOutstanding = new AtomicBoolean();

	private final AtomicBoolean watchOutstanding = new AtomicBoolean();

	/**
	 * Creates the handler.
	 * @param settings addresses and timeout of the services
	 * @param client client for HTTP calls
	 * @param budget limits the rate of the calls
	 * @param checker validates a published document; called on an I/O reactor thread
	 * @param events receives the results
	 */
	public PlatformHandler(PlatformSettings settings, OutboundHttpClient client, ReadBudget budget,
			Function<PublishedDocument, ConfigurationCheck> checker, EventSink events) {
		this.settings = settings;
		this.client = client;
		this.budget = budget;
		this.checker = checker;
		this.events = events;
	}

	@Override
	public void handle(PlatformEffect effect) {
		if (effect instanceof PlatformEffect.ReadList) {
			readList();
		}
		else if (effect instanceof PlatformEffect.WatchConfiguration watch) {
			watchConfiguration(watch);
		}
	}

	private void readList() {
		BasicHttpRequest request = BasicRequestBuilder.get("http://" + this.settings.listAddress() + "/instances")
			.build();
		call(Source.LIST, this.listOutstanding, request, MAX_LIST_BYTES, 0, this::listRead);
	}

	private void watchConfiguration(PlatformEffect.WatchConfiguration watch) {
		BasicHttpRequest request = BasicRequestBuilder
			.get("http://" + this.settings.configurationAddress() + "/configuration?after=" + watch.knownVersion()
					+ "&waitMillis=" + watch.waitMillis())
			.build();
		call(Source.CONFIGURATION, this.watchOutstanding, request, MAX_CONFIGURATION_BYTES, watch.waitMillis(),
				this::configurationRead);
	}

	private void call(Source source, AtomicBoolean outstanding, BasicHttpRequest request, int limitBytes,
			long waitMillis, ReplyCallback.ThrowingConsumer<HttpReply> onReply) {
		if (!outstanding.compareAndSet(false, true)) {
			return;
		}
		if (!this.budget.tryAcquire()) {
			outstanding.set(false);
			submitFailure(source, "read budget exhausted; raise it if this persists");
			return;
		}
		ReplyCallback<HttpReply> callback = new ReplyCallback<>((reply) -> {
			outstanding.set(false);
			onReply.accept(reply);
		}, (ex) -> {
			outstanding.set(false);
			submitFailure(source, describe(ex));
		});
		this.client.call(request, Optional.empty(), limitBytes, waitMillis + this.settings.timeoutMillis(), callback);
	}

	private void listRead(HttpReply reply) throws IOException {
		requireStatus(reply, STATUS_OK);
		FleetList list = PlatformDocuments.readList(reply.body());
		this.events.submit((at) -> new PlatformEvent.ListRead(at, list));
	}

	private void configurationRead(HttpReply reply) throws IOException {
		if (reply.status() == STATUS_NO_CONTENT) {
			this.events.submit(PlatformEvent.ConfigurationUnchanged::new);
			return;
		}
		requireStatus(reply, STATUS_OK);
		PublishedDocument document = PlatformDocuments.readConfiguration(reply.body());
		if (document.json().length() > MAX_VALUE_BYTES) {
			throw new IOException("Configuration document is larger than 1 MiB; publish a smaller one");
		}
		ConfigurationCheck check = this.checker.apply(document);
		this.events.submit((at) -> new PlatformEvent.ConfigurationRead(at, check));
	}

	private static void requireStatus(HttpReply reply, int expected) throws IOException {
		if (reply.status() != expected) {
			throw new IOException("service answered with status " + reply.status() + "; check the service");
		}
	}

	private static String describe(Exception ex) {
		return (ex.getMessage() != null) ? ex.getMessage() : ex.getClass().getSimpleName();
	}

	private void submitFailure(Source source, String detail) {
		this.events.submit((at) -> new PlatformEvent.ReadFailed(at, source, detail));
	}

}
