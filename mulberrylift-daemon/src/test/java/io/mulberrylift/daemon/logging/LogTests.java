package io.mulberrylift.daemon.logging;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.daemon.settings.LogFormat;
import io.mulberrylift.daemon.settings.LogLevel;
import io.mulberrylift.daemon.settings.LogSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of log output.
 */
class LogTests {

	private final LoggerContext context = new LoggerContext();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	@BeforeEach
	void prepareContext() {
		this.context.setMDCAdapter(new LogbackMDCAdapter());
	}

	@Test
	void textLinesCarryThePartAsPrefix() {
		LogSetup.configure(this.context, new LogSettings(LogFormat.TEXT, LogLevel.INFO), this.output);
		write(ControlEffect.Level.WARN, "no heartbeat from b");
		write(ControlEffect.Level.DEBUG, "detail");
		assertThat(text()).matches("\\S+Z WARN  membership: no heartbeat from b\\R");
	}

	@Test
	void jsonLinesAreObjects() throws Exception {
		LogSetup.configure(this.context, new LogSettings(LogFormat.JSON, LogLevel.DEBUG), this.output);
		write(ControlEffect.Level.DEBUG, "detail");
		JsonNode line = new ObjectMapper().readTree(text());
		assertThat(line.path("formattedMessage").asText()).isEqualTo("membership: detail");
		assertThat(line.path("level").asText()).isEqualTo("DEBUG");
	}

	@Test
	void librariesWriteWarningsOnly() {
		LogSetup.configure(this.context, new LogSettings(LogFormat.TEXT, LogLevel.DEBUG), this.output);
		this.context.getLogger("org.eclipse.jetty").info("started");
		this.context.getLogger("org.eclipse.jetty").warn("stopped");
		assertThat(text()).contains("stopped").doesNotContain("started");
	}

	private void write(ControlEffect.Level level, String message) {
		new LogEffectHandler(this.context.getLogger("io.mulberrylift"))
			.handle(new ControlEffect.Log(ControlEffect.Part.MEMBERSHIP, level, message));
	}

	private String text() {
		this.context.stop();
		return this.output.toString(StandardCharsets.UTF_8);
	}

}
