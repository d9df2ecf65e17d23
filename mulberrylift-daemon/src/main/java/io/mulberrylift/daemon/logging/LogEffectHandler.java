package io.mulberrylift.daemon.logging;

import java.util.EnumMap;
import java.util.Map;

import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.daemon.loop.EffectHandler;
import org.slf4j.Logger;
import org.slf4j.event.Level;

/**
 * Writes the reducer's log lines, prefixed with the name of the part that logged them.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
public final class LogEffectHandler implements EffectHandler<ControlEffect.Log> {

	/** Name of the logger to which the reducer's lines are written. */
	public static final String LOGGER_NAME = "io.mulberrylift";

	private static final Map<ControlEffect.Level, Level> LEVELS = levels();

	private final Logger logger;

	/**
	 * Creates the handler.
	 * @param logger receives the lines, usually the logger {@value #LOGGER_NAME}
	 */
	public LogEffectHandler(Logger logger) {
		this.logger = logger;
	}

	@Override
	public void handle(ControlEffect.Log effect) {
		this.logger.atLevel(LEVELS.get(effect.level())).log("{}: {}", effect.part().prefix(), effect.message());
	}

	private static Map<ControlEffect.Level, Level> levels() {
		Map<ControlEffect.Level, Level> levels = new EnumMap<>(ControlEffect.Level.class);
		levels.put(ControlEffect.Level.DEBUG, Level.DEBUG);
		levels.put(ControlEffect.Level.INFO, Level.INFO);
		levels.put(ControlEffect.Level.WARN, Level.WARN);
		return levels;
	}

}
