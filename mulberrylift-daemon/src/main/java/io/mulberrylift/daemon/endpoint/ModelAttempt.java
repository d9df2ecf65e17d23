package io.mulberrylift.daemon.endpoint;

import java.util.concurrent.Future;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ModelCall;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.ReplyCallback;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.support.BasicRequestProducer;

/**
 * An attempt on a model engine.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class ModelAttempt extends RunningAttempt {

	private static final String PATH = "/engine/v1/attempts";

	private final ModelCall modelCall;

	private final ModelAnswerConsumer answer;

	ModelAttempt(AttemptEffect.Dispatch dispatch, CallerExchange exchange, AttemptServices services,
			ModelCall modelCall, Runnable onEnd) {
		super(dispatch, exchange, services, onEnd);
		this.modelCall = modelCall;
		this.answer = new ModelAnswerConsumer(this);
	}

	@Override
	Future<?> call(String address) {
		BasicHttpRequest request = new BasicHttpRequest(Method.POST, OutboundHttpClient.host(address), PATH);
		AttemptBodyProducer body = new AttemptBodyProducer(services().identity(), dispatch(), exchange().spec(),
				this.modelCall);
		return services().client()
			.execute(new OutboundHttpClient.Exchange<>(new BasicRequestProducer(request, body), this.answer), gate(),
					dispatch().timeoutMillis(), new ReplyCallback<>((nothing) -> {
					}, this.answer::transportFailed));
	}

	@Override
	void cleanUpEndpoint() {
		String name = AttemptNames.of(services().identity(), dispatch().attemptId());
		services().canceller().cancel(dispatch().endpoint(), name, this.answer.isHeadReceived());
	}

}
