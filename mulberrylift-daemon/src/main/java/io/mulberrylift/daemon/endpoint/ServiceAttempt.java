package io.mulberrylift.daemon.endpoint;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ServiceCall;
import io.mulberrylift.daemon.exchange.ServiceReply;
import io.mulberrylift.daemon.outbound.HttpReply;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.ReplyCallback;
import io.mulberrylift.daemon.outbound.ReplyConsumer;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncEntityProducer;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityProducer;
import org.apache.hc.core5.http.nio.support.BasicRequestProducer;

/**
 * An attempt of a call to a plain service.
 *
 * <p>
 * Safe for use by several threads. The response is forwarded only when it is complete.
 * </p>
 */
final class ServiceAttempt extends RunningAttempt {

	private static final int MAX_REPLY_BYTES = 8 * 1_024 * 1_024;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final String NOT_RUN_HEADER = "not-run";

	private static final String RETRY_AFTER_HEADER = "retry-after";

	private final ServiceCall serviceCall;

	private volatile boolean notRun;

	private volatile OptionalLong retryAfterMillis = OptionalLong.empty();

	ServiceAttempt(AttemptEffect.Dispatch dispatch, CallerExchange exchange, AttemptServices services,
			ServiceCall serviceCall, Runnable onEnd) {
		super(dispatch, exchange, services, onEnd);
		this.serviceCall = serviceCall;
	}

	@Override
	Future<?> call(String address) {
		BasicHttpRequest request = new BasicHttpRequest(this.serviceCall.method(), OutboundHttpClient.host(address),
				"/" + this.serviceCall.pathAndQuery());
		HopByHopHeaders.endToEnd(this.serviceCall.headers())
			.forEach((name, values) -> values.forEach((value) -> request.addHeader(name, value)));
		ReplyCallback<HttpReply> callback = new ReplyCallback<>(this::replyReceived, this::callFailed);
		return services().client()
			.execute(
					new OutboundHttpClient.Exchange<>(new BasicRequestProducer(request, body()),
							new ReplyConsumer(MAX_REPLY_BYTES, this::headReceived)),
					gate(), dispatch().timeoutMillis(), callback);
	}

	private AsyncEntityProducer body() {
		byte[] bytes = this.serviceCall.body();
		// No content type here: it is copied with the end-to-end headers.
		return (bytes.length > 0) ? new BasicAsyncEntityProducer(bytes, null) : null;
	}

	private void headReceived(HttpReply head) {
		if (head.status() == STATUS_UNAVAILABLE
				&& head.header(NOT_RUN_HEADER).filter("true"::equalsIgnoreCase).isPresent()) {
			this.retryAfterMillis = retryAfterMillis(head);
			this.notRun = true;
			return;
		}
		started();
	}

	private static OptionalLong retryAfterMillis(HttpReply head) {
		try {
			return head.header(RETRY_AFTER_HEADER)
				.map((value) -> OptionalLong.of(TimeUnit.SECONDS.toMillis(Long.parseLong(value.strip()))))
				.orElse(OptionalLong.empty());
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

	private void replyReceived(HttpReply reply) {
		if (this.notRun) {
			failNotRun();
			return;
		}
		Map<String, List<String>> headers = HopByHopHeaders.endToEnd(reply.headers());
		write((sink) -> sink.acceptReply(new ServiceReply(reply.status(), headers, reply.body())));
		finished(0, 0, 0);
	}

	private void callFailed(Exception cause) {
		if (this.notRun) {
			failNotRun();
		}
		else {
			transportFailed(cause);
		}
	}

	private void failNotRun() {
		failed(AttemptFailure.TURNED_AWAY, this.retryAfterMillis, "service did not run the call");
	}

	@Override
	void cleanUpEndpoint() {
		// A plain service has no operation to cancel a request.
	}

}
