package io.mulberrylift.daemon.settings;

/**
 * How log lines are written.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param format form of the lines
 * @param level least importance of lines that are written
 */
public record LogSettings(LogFormat format, LogLevel level) {

	/** Values used when the settings name none. */
	public static final LogSettings DEFAULTS = new LogSettings(null, null);

	/**
	 * Creates the settings. Absent values take their defaults.
	 */
	public LogSettings {
		format = (format != null) ? format : LogFormat.TEXT;
		level = (level != null) ? level : LogLevel.INFO;
	}

}
