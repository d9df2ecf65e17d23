package io.mulberrylift.daemon.logging;

import java.io.OutputStream;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import io.mulberrylift.daemon.settings.LogFormat;
import io.mulberrylift.daemon.settings.LogSettings;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Configures Logback from the instance's settings.
 */
public final class LogSetup {

	private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %msg%n%ex";

	private static final String APPLICATION_LOGGER = "io.mulberrylift";

	private static final int MAX_QUEUED_LINES = 8_192;

	private LogSetup() {
	}

	/**
	 * Replaces the configuration of the context. Loggers of libraries write warnings and
	 * errors only. Lines are queued and written by a separate thread; when the queue is
	 * full because the output stalls, lines are dropped instead of blocking the logging
	 * thread. Stopping the context writes the queued lines.
	 * @param context the context to configure
	 * @param settings format and level of the lines
	 * @param output stream to which lines are written
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
		root.addAppender(asyncAppender(context, appender));
		root.setLevel(Level.WARN);
		context.getLogger(APPLICATION_LOGGER).setLevel(Level.toLevel(settings.level().name()));
	}

	/**
	 * Routes the lines of libraries that use {@code java.util.logging} to SLF4J.
	 */
	public static void bridgeJdkLogging() {
		SLF4JBridgeHandler.removeHandlersForRootLogger();
		SLF4JBridgeHandler.install();
	}

	private static Appender<ILoggingEvent> asyncAppender(LoggerContext context, Appender<ILoggingEvent> target) {
		AsyncAppender appender = new AsyncAppender();
		appender.setContext(context);
		appender.setName("queue");
		appender.setQueueSize(MAX_QUEUED_LINES);
		appender.setDiscardingThreshold(0);
		appender.setNeverBlock(true);
		appender.addAppender(target);
		appender.start();
		return appender;
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
