package io.mulberrylift.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.daemon.loop.EffectHandler;
import jakarta.inject.Inject;

/**
 * Counts what the reducer counts, under the part's name.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
public final class CountEffectHandler implements EffectHandler<ControlEffect.Count> {

	private final MetricRegistry registry;

	/**
	 * Creates the handler.
	 * @param registry where counters are kept
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
