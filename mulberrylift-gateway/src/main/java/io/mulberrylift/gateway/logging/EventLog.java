package io.mulberrylift.gateway.logging;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes events as one JSON object per line: wall-clock time ({@code at}), monotonic
 * milliseconds ({@code steady}), instance, event and further fields.
 *
 * <p>
 * Thread-safe. Never blocks, see {@link BoundedAppender}.
 * </p>
 */
public final class EventLog {

	private static final Logger LOGGER = LoggerFactory.getLogger("mulberrylift.gateway");

	/** Maximum number of characters of a text from outside in a line. */
	private static final int MAX_EXTERNAL_CHARACTERS = 80;

	private final String instance;

	/**
	 * Creates the log of an instance.
	 * @param instance name of the instance
	 */
	public EventLog(String instance) {
		this.instance = Objects.requireNonNull(instance, "instance");
	}

	/**
	 * Replaces the logging configuration of the process by an appender to standard
	 * output.
	 * @return the appender, to be stopped before the process exits
	 */
	public static BoundedAppender configure() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		BoundedAppender appender = new BoundedAppender(System.out);
		appender.setContext(context);
		appender.start();
		ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(appender);
		return appender;
	}

	/**
	 * Returns the beginning of a text that a caller or an endpoint has sent.
	 * @param text the text
	 * @return its first {@value #MAX_EXTERNAL_CHARACTERS} characters, empty if there is
	 * none
	 */
	public static String abbreviated(Optional<String> text) {
		return text.map((all) -> all.substring(0, Math.min(all.length(), MAX_EXTERNAL_CHARACTERS))).orElse("");
	}

	/**
	 * Writes an event.
	 * @param event name of the event
	 * @param fields alternating names and values
	 */
	public void write(String event, Object... fields) {
		write(event, List.of(fields));
	}

	/**
	 * Writes an event.
	 * @param event name of the event
	 * @param fields alternating names and values
	 */
	public void write(String event, List<Object> fields) {
		StringBuilder line = new StringBuilder(160);
		line.append("{\"at\":\"").append(Instant.now()).append("\",\"steady\":").append(System.nanoTime() / 1_000_000);
		line.append(",\"instance\":");
		appendText(line, this.instance);
		line.append(",\"event\":");
		appendText(line, event);
		for (int index = 0; index + 1 < fields.size(); index += 2) {
			line.append(',');
			appendText(line, String.valueOf(fields.get(index)));
			line.append(':');
			appendValue(line, fields.get(index + 1));
		}
		LOGGER.info(line.append('}').toString());
	}

	private static void appendValue(StringBuilder line, Object value) {
		if (value instanceof Number || value instanceof Boolean) {
			line.append(value);
		}
		else {
			appendText(line, String.valueOf(value));
		}
	}

	private static void appendText(StringBuilder line, String text) {
		line.append('"');
		for (int index = 0; index < text.length(); index++) {
			char each = text.charAt(index);
			if (each == '"' || each == '\\') {
				line.append('\\').append(each);
			}
			else if (each < ' ') {
				line.append(String.format("\\u%04x", (int) each));
			}
			else {
				line.append(each);
			}
		}
		line.append('"');
	}

}
