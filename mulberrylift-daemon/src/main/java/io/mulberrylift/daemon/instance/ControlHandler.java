package io.mulberrylift.daemon.instance;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.daemon.loop.EffectHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the reducer's log lines, counts for it and learns that it is done.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class ControlHandler implements EffectHandler<ControlEffect> {

	private static final Logger logger = LoggerFactory.getLogger("io.mulberrylift");

	private final MetricRegistry metrics;

	private final CountDownLatch exit = new CountDownLatch(1);

	ControlHandler(MetricRegistry metrics) {
		this.metrics = metrics;
	}

	@Override
	public void handle(ControlEffect effect) {
		if (effect instanceof ControlEffect.Count count) {
			this.metrics.counter(count.part().prefix() + "." + count.name()).inc(count.increment());
		}
		else if (effect instanceof ControlEffect.Log line) {
			write(line);
		}
		else if (effect instanceof ControlEffect.Exit) {
			this.exit.countDown();
		}
	}

	private void write(ControlEffect.Log line) {
		String prefix = line.part().prefix();
		switch (line.level()) {
			case DEBUG -> logger.debug("{}: {}", prefix, line.message());
			case INFO -> logger.info("{}: {}", prefix, line.message());
			case WARN -> logger.warn("{}: {}", prefix, line.message());
		}
	}

	boolean awaitExit(long timeoutMillis) throws InterruptedException {
		return this.exit.await(timeoutMillis, TimeUnit.MILLISECONDS);
	}

}
