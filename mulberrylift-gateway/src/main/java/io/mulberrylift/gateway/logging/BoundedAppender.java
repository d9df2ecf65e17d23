package io.mulberrylift.gateway.logging;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;

/**
 * Writes log lines on a dedicated thread, so that logging never blocks.
 *
 * <p>
 * Thread-safe. The queue is bounded; lines are dropped and counted while it is full, and
 * the count is written once there is room again.
 * </p>
 */
public final class BoundedAppender extends AppenderBase<ILoggingEvent> {

	/** Capacity of the queue. */
	public static final int QUEUE_LINES = 4096;

	/**
	 * Time to wait for further lines, which are then written in one call.
	 */
	private static final long BATCH_MILLIS = 150;

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);

	private final AtomicLong droppedLines = new AtomicLong();

	private final PrintStream out;

	private Thread writer;

	private volatile boolean stopping;

	/**
	 * Creates the appender.
	 * @param out stream to write to
	 */
	public BoundedAppender(PrintStream out) {
		this.out = Objects.requireNonNull(out, "out");
	}

	@Override
	public void start() {
		this.writer = new Thread(this::drainQueue, "log-writer");
		this.writer.setDaemon(true);
		super.start();
		this.writer.start();
	}

	@Override
	protected void append(ILoggingEvent event) {
		if (!this.queue.offer(event.getFormattedMessage())) {
			this.droppedLines.incrementAndGet();
		}
	}

	/**
	 * Returns the number of dropped lines that have not been reported in the log yet.
	 * @return the number of lines
	 */
	public long droppedLines() {
		return this.droppedLines.get();
	}

	@Override
	public void stop() {
		super.stop();
		this.stopping = true;
		try {
			this.writer.join(TimeUnit.SECONDS.toMillis(1));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void drainQueue() {
		List<String> lines = new ArrayList<>();
		while (!this.stopping || !this.queue.isEmpty()) {
			try {
				String first = this.queue.poll(BATCH_MILLIS, TimeUnit.MILLISECONDS);
				if (first != null) {
					lines.add(first);
					if (!this.stopping) {
						Thread.sleep(BATCH_MILLIS);
					}
					this.queue.drainTo(lines);
					writeLines(lines);
				}
			}
			catch (InterruptedException ex) {
				this.stopping = true;
			}
		}
	}

	private void writeLines(List<String> lines) {
		StringBuilder text = new StringBuilder();
		lines.forEach((line) -> text.append(line).append('\n'));
		lines.clear();
		long droppedCount = this.droppedLines.getAndSet(0);
		if (droppedCount > 0) {
			text.append("{\"event\":\"log-lines-dropped\",\"lines\":").append(droppedCount).append("}\n");
		}
		byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
		this.out.write(bytes, 0, bytes.length);
		this.out.flush();
	}

}
