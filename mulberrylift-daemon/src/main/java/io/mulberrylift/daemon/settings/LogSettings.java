package io.mulberrylift.daemon.settings;

/**
 * Format and level of the log.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param format format of log lines
 * @param level lowest severity that is logged
 */
public record LogSettings(LogFormat format, LogLevel level) {

	/** Values used when the settings have no log settings. */
	public static final LogSettings DEFAULTS = new LogSettings(null, null);

	/**
	 * Creates the settings. Absent values take their defaults.
	 */
	public LogSettings {
		format = (format != null) ? format : LogFormat.TEXT;
		level = (level != null) ? level : LogLevel.INFO;
	}

}
