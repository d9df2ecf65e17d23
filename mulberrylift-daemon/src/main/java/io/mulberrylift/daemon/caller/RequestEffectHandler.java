package io.mulberrylift.daemon.caller;

import java.util.Optional;

import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.loop.EffectHandler;
import io.mulberrylift.daemon.metrics.CallerMetrics;

/**
 * Ends callers' exchanges on effects of the reducer.
 *
 * <p>
 * Thread-safe. Effects on requests that have ended are ignored.
 * </p>
 */
public final class RequestEffectHandler implements EffectHandler<RequestEffect> {

	private final ExchangeTable exchanges;

	private final CallerMetrics metrics;

	/**
	 * Creates the handler.
	 * @param exchanges table of the requests in progress
	 * @param metrics counts answers and refusals
	 */
	public RequestEffectHandler(ExchangeTable exchanges, CallerMetrics metrics) {
		this.exchanges = exchanges;
		this.metrics = metrics;
	}

	@Override
	public void handle(RequestEffect effect) {
		Optional<CallerExchange> exchange = this.exchanges.remove(effect.requestId());
		exchange.ifPresent((open) -> endExchange(open, effect));
	}

	private void endExchange(CallerExchange exchange, RequestEffect effect) {
		if (effect instanceof RequestEffect.Refuse refuse) {
			this.metrics.countRefusal(refuse.refusal().reason());
			exchange.refuse(refuse.refusal());
		}
		else if (effect instanceof RequestEffect.Replay replay) {
			this.metrics.countReplay();
			exchange.replay(replay.answer());
		}
		else {
			this.metrics.countAnswer();
			exchange.complete();
		}
	}

}
