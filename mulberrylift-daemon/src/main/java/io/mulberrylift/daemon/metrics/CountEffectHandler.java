package io.mulberrylift.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.daemon.loop.EffectHandler;
import jakarta.inject.Inject;

/**
 * Updates the reducer's counters, each prefixed with the name of its part.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
public final class CountEffectHandler implements EffectHandler<ControlEffect.Count> {

	private final MetricRegistry registry;

	/**
	 * Creates the handler.
	 * @param registry registry that holds the counters
	 */
	@Inject
	public CountEffectHandler(MetricRegistry registry) {
		this.registry = registry;
	}

	@Override
	public void handle(ControlEffect.Count effect) {
		this.registry.counter(effect.part().prefix() + "." + effect.name()).inc(effect.increment());
	}

}
