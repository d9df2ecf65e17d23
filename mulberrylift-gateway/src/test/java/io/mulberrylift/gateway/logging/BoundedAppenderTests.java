package io.mulberrylift.gateway.logging;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BoundedAppenderTests {

	private final LoggerContext context = new LoggerContext();

	private LoggingEvent line(String text) {
		return new LoggingEvent("f", this.context.getLogger("test"), Level.INFO, text, null, null);
	}

	@Test
	void stopWritesAllQueuedLines() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		BoundedAppender appender = new BoundedAppender(new PrintStream(bytes, false, StandardCharsets.UTF_8));
		appender.setContext(this.context);
		appender.start();
		for (int count = 0; count < 100; count++) {
			appender.doAppend(line("line " + count));
		}
		appender.stop();
		assertThat(bytes.toString(StandardCharsets.UTF_8).lines()).hasSize(100).last().isEqualTo("line 99");
	}

	@Test
	void fullQueueDropsAndCountsLinesWithoutBlocking() {
		CountDownLatch unblocked = new CountDownLatch(1);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		OutputStream blocking = new OutputStream() {
			@Override
			public void write(int value) {
				write(new byte[] { (byte) value }, 0, 1);
			}

			@Override
			public void write(byte[] values, int offset, int length) {
				try {
					unblocked.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				bytes.write(values, offset, length);
			}
		};
		BoundedAppender appender = new BoundedAppender(new PrintStream(blocking, false, StandardCharsets.UTF_8));
		appender.setContext(this.context);
		appender.start();
		int lines = 4 * BoundedAppender.QUEUE_LINES;
		for (int count = 0; count < lines; count++) {
			appender.doAppend(line("line"));
		}
		assertThat(appender.droppedLines()).isPositive();
		unblocked.countDown();
		appender.stop();
		assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("log-lines-dropped");
	}

}
