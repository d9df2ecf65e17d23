package io.mulberrylift.daemon.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.daemon.exchange.CallerExchange;
import jakarta.servlet.AsyncContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One HTTP call, from its request headers to the end of its response.
 *
 * <p>
 * Thread-safe. A disconnect of the caller is reported to the reducer at most once, and
 * only after the request itself.
 * </p>
 */
final class OpenCall implements BodyReader.BodyReceiver {

	private static final Logger LOGGER = LoggerFactory.getLogger(OpenCall.class);

	private final CallerRequest head;

	private final CallerGateway gateway;

	private final ResponseStream stream;

	private CallerExchange exchange;

	private boolean disconnectReported;

	/**
	 * Creates the call.
	 * @param head the request without its body
	 * @param context context of the started asynchronous call
	 * @param gateway validates requests and submits them to the reducer
	 * @param permit the call's permit, empty if the limit of open calls is reached
	 */
	OpenCall(CallerRequest head, AsyncContext context, CallerGateway gateway, Optional<OpenCalls.Permit> permit) {
		this.head = head;
		this.gateway = gateway;
		this.stream = new ResponseStream(context, this::connectionLost,
				() -> permit.ifPresent(OpenCalls.Permit::release));
	}

	@Override
	public void received(byte[] body) {
		CallerRequest request = new CallerRequest(this.head.method(), this.head.path(), this.head.query(),
				this.head.headers(), body);
		CheckResult<CallerExchange> result = check(request);
		if (result instanceof CheckResult.Valid<CallerExchange> valid) {
			submit(valid.value());
		}
		else if (result instanceof CheckResult.Refused<CallerExchange> refused) {
			send(refused.refusal(), Map.of());
		}
	}

	@Override
	public void refused(Refusal refusal) {
		send(refusal, Map.of("Connection", List.of("close")));
	}

	@Override
	public void connectionLost() {
		this.stream.fail();
		reportDisconnect();
	}

	private synchronized void submit(CallerExchange accepted) {
		this.exchange = accepted;
		this.gateway.submit(accepted);
		if (this.stream.failed()) {
			reportDisconnect();
		}
	}

	private synchronized void reportDisconnect() {
		if (this.exchange != null && !this.disconnectReported) {
			this.disconnectReported = true;
			this.gateway.callerDisconnected(this.exchange);
		}
	}

	private CheckResult<CallerExchange> check(CallerRequest request) {
		try {
			return CallerRoute.of(request.path()).start(this.gateway, request, this.stream);
		}
		catch (RuntimeException ex) {
			LOGGER.error("caller: checking the request to {} failed", request.path(), ex);
			return CheckResult.refused(RefusalReason.INTERNAL, "Checking the request failed with an internal error");
		}
	}

	private void send(Refusal refusal, Map<String, List<String>> extraHeaders) {
		ProblemDocument problem = ProblemDocument.of(this.gateway.recordRefusal(refusal, this.head));
		Map<String, List<String>> headers = problem.headers();
		headers.putAll(extraHeaders);
		this.stream.begin(problem.status(), headers);
		this.stream.send(CallerJson.write(problem));
		this.stream.finish();
	}

}
