package io.mulberrylift.daemon.endpoint;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.LongSupplier;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.loop.EffectHandler;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;

/**
 * Sends requests to endpoints and forwards the answers to callers.
 *
 * <p>
 * Effects are handled on the loop's thread, answers on reactor threads. Every dispatch
 * that is not cancelled leads to exactly one {@link AttemptEvent.Finished} or
 * {@link AttemptEvent.Failed}.
 * </p>
 */
public final class AttemptHandler implements EffectHandler<AttemptEffect> {

	private final EndpointDirectory directory;

	private final ExchangeTable exchanges;

	private final AttemptServices services;

	private final ConcurrentMap<Long, RunningAttempt> running = new ConcurrentHashMap<>();

	/**
	 * Creates the handler.
	 * @param identity identity of the instance that sends the attempts
	 * @param directory the published endpoints
	 * @param exchanges the callers' open exchanges
	 * @param client sends the requests
	 * @param canceller cancels attempts on engines
	 * @param events receives the results
	 * @param progress notified of accepted tokens
	 * @param monotonicMillis the monotonic clock that {@code notAfterMonotonicMillis}
	 * refers to, in milliseconds
	 */
	public AttemptHandler(InstanceIdentity identity, EndpointDirectory directory, ExchangeTable exchanges,
			OutboundHttpClient client, AttemptCanceller canceller, EventSink events, AttemptProgressListener progress,
			LongSupplier monotonicMillis) {
		this.directory = directory;
		this.exchanges = exchanges;
		this.services = new AttemptServices(identity, client, canceller, events, progress, monotonicMillis);
	}

	@Override
	public void handle(AttemptEffect effect) {
		if (effect instanceof AttemptEffect.Dispatch dispatch) {
			dispatch(dispatch);
		}
		else if (effect instanceof AttemptEffect.Cancel cancel) {
			RunningAttempt attempt = this.running.get(cancel.attemptId());
			if (attempt != null) {
				attempt.cancel();
			}
		}
	}

	private void dispatch(AttemptEffect.Dispatch dispatch) {
		Optional<EndpointDescription> endpoint = this.directory.find(dispatch.endpoint());
		Optional<CallerExchange> exchange = this.exchanges.find(dispatch.requestId());
		if (endpoint.isEmpty() || exchange.isEmpty()) {
			int deliveredTokens = exchange.map((value) -> value.sink().acceptedTokens()).orElse(0);
			String detail = (endpoint.isEmpty()) ? "endpoint is not listed" : "request has ended";
			this.services.events()
				.submit((at) -> new AttemptEvent.Failed(at, dispatch.attemptId(), AttemptFailure.NOT_SENT,
						deliveredTokens, OptionalLong.empty(), detail));
			return;
		}
		RunningAttempt attempt = createAttempt(dispatch, exchange.get());
		this.running.put(dispatch.attemptId(), attempt);
		attempt.start(endpoint.get().address());
	}

	private RunningAttempt createAttempt(AttemptEffect.Dispatch dispatch, CallerExchange exchange) {
		Runnable onEnd = () -> this.running.remove(dispatch.attemptId());
		return exchange.modelCall()
			.<RunningAttempt>map((call) -> new ModelAttempt(dispatch, exchange, this.services, call, onEnd))
			.orElseGet(() -> new ServiceAttempt(dispatch, exchange, this.services, exchange.serviceCall().orElseThrow(),
					onEnd));
	}

	/**
	 * Counts the attempts in progress.
	 * @return the number of attempts
	 */
	public int runningAttempts() {
		return this.running.size();
	}

}
