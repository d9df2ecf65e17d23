package io.mulberrylift.gateway.logging;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DirectLogProvider}.
 */
class DirectLogProviderTests {

	private final DirectLogProvider provider = new DirectLogProvider();

	@Test
	void contextHasNoAppenderUntilOneIsAdded() {
		this.provider.initialize();
		LoggerContext context = (LoggerContext) this.provider.getLoggerFactory();
		assertThat(context.isStarted()).isTrue();
		assertThat(context.getLogger(Logger.ROOT_LOGGER_NAME).iteratorForAppenders().hasNext()).isFalse();
	}

	@Test
	void lineWithContextMapIsWritten() {
		this.provider.initialize();
		LoggerContext context = (LoggerContext) this.provider.getLoggerFactory();
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		BoundedAppender appender = new BoundedAppender(new PrintStream(output, true, StandardCharsets.UTF_8));
		appender.setContext(context);
		appender.start();
		Logger logger = context.getLogger("test");
		logger.addAppender(appender);
		this.provider.getMDCAdapter().put("key", "value");
		logger.info("a line");
		appender.stop();
		assertThat(output.toString(StandardCharsets.UTF_8)).contains("a line");
	}

	@Test
	void markersAreCreated() {
		assertThat(this.provider.getMarkerFactory().getMarker("m").getName()).isEqualTo("m");
		assertThat(this.provider.getRequestedApiVersion()).startsWith("2.0");
	}

}
