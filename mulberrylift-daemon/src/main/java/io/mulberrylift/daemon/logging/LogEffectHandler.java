package io.mulberrylift.daemon.logging;

import java.util.EnumMap;
import java.util.Map;

import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.daemon.loop.EffectHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Writes the reducer's log lines, each with its part as prefix.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
public final class LogEffectHandler implements EffectHandler<ControlEffect.Log> {

	private static final Logger LOGGER = LoggerFactory.getLogger("io.mulberrylift");

	private static final Map<ControlEffect.Level, Level> LEVELS = levels();

	@Override
	public void handle(ControlEffect.Log effect) {
		LOGGER.atLevel(LEVELS.get(effect.level())).log("{}: {}", effect.part().prefix(), effect.message());
	}

	private static Map<ControlEffect.Level, Level> levels() {
		Map<ControlEffect.Level, Level> levels = new EnumMap<>(ControlEffect.Level.class);
		levels.put(ControlEffect.Level.DEBUG, Level.DEBUG);
		levels.put(ControlEffect.Level.INFO, Level.INFO);
		levels.put(ControlEffect.Level.WARN, Level.WARN);
		return levels;
	}

}
