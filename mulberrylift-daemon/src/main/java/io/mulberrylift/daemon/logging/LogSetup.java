package io.mulberrylift.daemon.logging;

import java.io.OutputStream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import io.mulberrylift.daemon.settings.LogFormat;
import io.mulberrylift.daemon.settings.LogSettings;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Sets Logback up from settings.
 */
public final class LogSetup {

	private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %msg%n%ex";

	private static final String OWN_LOGGER = "io.mulberrylift";

	private LogSetup() {
	}

	/**
	 * Replaces all that the context had. Libraries write warnings only.
	 * @param context the context to set up
	 * @param settings form and level of lines
	 * @param output where lines go
	 */
	public static void configure(LoggerContext context, LogSettings settings, OutputStream output) {
		context.reset();
		OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
		appender.setContext(context);
		appender.setName("output");
		appender.setEncoder(encoder(context, settings.format()));
		appender.setOutputStream(output);
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.addAppender(appender);
		root.setLevel(Level.WARN);
		context.getLogger(OWN_LOGGER).setLevel(Level.toLevel(settings.level().name()));
	}

	/**
	 * Takes the lines of libraries that log by the JDK's own logging.
	 */
	public static void takeJdkLines() {
		SLF4JBridgeHandler.removeHandlersForRootLogger();
		SLF4JBridgeHandler.install();
	}

	private static Encoder<ILoggingEvent> encoder(LoggerContext context, LogFormat format) {
		Encoder<ILoggingEvent> encoder = (format == LogFormat.JSON) ? jsonEncoder() : textEncoder();
		encoder.setContext(context);
		encoder.start();
		return encoder;
	}

	private static Encoder<ILoggingEvent> textEncoder() {
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setPattern(TEXT_PATTERN);
		return encoder;
	}

	private static Encoder<ILoggingEvent> jsonEncoder() {
		JsonEncoder encoder = new JsonEncoder();
		encoder.setWithFormattedMessage(true);
		encoder.setWithMessage(false);
		encoder.setWithArguments(false);
		encoder.setWithContext(false);
		encoder.setWithSequenceNumber(false);
		encoder.setWithNanoseconds(false);
		return encoder;
	}

}
