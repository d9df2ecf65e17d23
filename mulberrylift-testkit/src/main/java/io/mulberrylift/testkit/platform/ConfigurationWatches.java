package io.mulberrylift.testkit.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.mulberrylift.testkit.http.Exchange;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Long-polling reads of the configuration that wait for a newer version. Thread-safe.
 */
final class ConfigurationWatches {

	private final PlatformState state;

	private final List<Watch> waiting = new ArrayList<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "platform-timer");
		thread.setDaemon(true);
		return thread;
	});

	ConfigurationWatches(PlatformState state) {
		this.state = state;
	}

	void read(Exchange exchange) {
		Watch watch = new Watch(exchange, exchange.queryParameter("after", 0));
		long waitMillis = exchange.queryParameter("waitMillis", 0);
		synchronized (this) {
			if (respondIfNewer(watch)) {
				return;
			}
			if (waitMillis > 0) {
				this.waiting.add(watch);
				this.timer.schedule(() -> expire(watch), waitMillis, TimeUnit.MILLISECONDS);
				return;
			}
		}
		exchange.respond(HttpStatus.NO_CONTENT_204);
	}

	synchronized void notifyPublished() {
		this.waiting.removeIf(this::respondIfNewer);
	}

	synchronized int waiting() {
		return this.waiting.size();
	}

	void stop() {
		this.timer.shutdownNow();
	}

	private boolean respondIfNewer(Watch watch) {
		PublishedConfiguration configuration = this.state.configuration();
		if (configuration.version() <= watch.after()) {
			return false;
		}
		watch.exchange().respond(HttpStatus.OK_200, configuration);
		return true;
	}

	private void expire(Watch watch) {
		synchronized (this) {
			this.waiting.remove(watch);
		}
		watch.exchange().respond(HttpStatus.NO_CONTENT_204);
	}

	private record Watch(Exchange exchange, long after) {
	}

}
