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
 * Sets Logback up from settings.
 */
public final class LogSetup {

	private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %msg%n%ex";

	private static final String APPLICATION_LOGGER = "io.mulberrylift";

	private static final int MAX_QUEUED_LINES = 8_192;

	private LogSetup() {
	}

	/**
	 * Replaces all that the context had. Libraries write warnings only. Lines are written
	 * by a thread of their own; when output stalls for long, lines are dropped rather
	 * than making their writers wait. Stopping the context writes what is left.
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
		root.addAppender(asyncAppender(context, appender));
		root.setLevel(Level.WARN);
		context.getLogger(APPLICATION_LOGGER).setLevel(Level.toLevel(settings.level().name()));
	}

	/**
	 * Takes the lines of libraries that log by the JDK's own logging.
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
