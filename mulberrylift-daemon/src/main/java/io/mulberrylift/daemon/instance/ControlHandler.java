package io.mulberrylift.daemon.instance;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.daemon.logging.LogEffectHandler;
import io.mulberrylift.daemon.loop.EffectHandler;
import io.mulberrylift.daemon.metrics.CountEffectHandler;
import org.slf4j.LoggerFactory;

/**
 * Writes the reducer's log messages, updates its counters and signals its exit.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class ControlHandler implements EffectHandler<ControlEffect> {

	private final EffectHandler<ControlEffect.Count> counts;

	private final EffectHandler<ControlEffect.Log> logs = new LogEffectHandler(
			LoggerFactory.getLogger("io.mulberrylift"));

	private final CountDownLatch exit = new CountDownLatch(1);

	ControlHandler(MetricRegistry metrics) {
		this.counts = new CountEffectHandler(metrics);
	}

	@Override
	public void handle(ControlEffect effect) {
		if (effect instanceof ControlEffect.Count count) {
			this.counts.handle(count);
		}
		else if (effect instanceof ControlEffect.Log log) {
			this.logs.handle(log);
		}
		else if (effect instanceof ControlEffect.Exit) {
			this.exit.countDown();
		}
	}

	boolean awaitExit(long timeoutMillis) throws InterruptedException {
		return this.exit.await(timeoutMillis, TimeUnit.MILLISECONDS);
	}

}
