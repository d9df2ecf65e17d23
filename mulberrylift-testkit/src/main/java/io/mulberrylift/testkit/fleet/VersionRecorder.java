package io.mulberrylift.testkit.fleet;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryWriter;

/**
 * Polls all instances for the configuration version in force and writes the answers to a
 * history.
 *
 * <p>
 * Runs on its own thread until it is closed. An instance that does not answer is skipped;
 * a suspended one delays the next round until it resumes or ends.
 * </p>
 */
public final class VersionRecorder implements AutoCloseable {

	private static final long POLL_MILLIS = 250;

	private static final long JOIN_TIMEOUT_MILLIS = 10_000;

	private final FleetProcesses fleet;

	private final HistoryWriter history;

	private final Thread thread = new Thread(this::run, "version-recorder");

	private final AtomicLong recordedCount = new AtomicLong();

	private volatile boolean closed;

	/**
	 * Creates a recorder and starts it.
	 * @param fleet the fleet whose instances are polled
	 * @param history receives the answers
	 */
	public VersionRecorder(FleetProcesses fleet, HistoryWriter history) {
		this.fleet = fleet;
		this.history = history;
		this.thread.setDaemon(true);
		this.thread.start();
	}

	private void run() {
		try {
			while (!this.closed) {
				this.fleet.instanceIds().forEach(this::record);
				Thread.sleep(POLL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void record(String id) {
		try {
			JsonNode version = this.fleet.readInstance(id, "/admin/configuration").path("versionInForce");
			if (version.isNumber()) {
				this.history.write(new HistoryEvent.InForce(System.currentTimeMillis(), id, version.asLong()));
				this.recordedCount.incrementAndGet();
			}
		}
		catch (IOException ex) {
			// The instance is ending or the connection was closed; the next round
			// retries.
		}
	}

	/**
	 * Returns the number of answers written so far.
	 * @return the number of answers
	 */
	public long recordedCount() {
		return this.recordedCount.get();
	}

	@Override
	public void close() throws InterruptedException {
		this.closed = true;
		this.thread.join(JOIN_TIMEOUT_MILLIS);
	}

}
