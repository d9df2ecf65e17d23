package io.mulberrylift.daemon.instance;

import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.LoggerContext;
import io.mulberrylift.daemon.cli.DaemonStarter;
import io.mulberrylift.daemon.settings.InstanceSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs an instance until the process receives a termination request, then shuts it down
 * gracefully and flushes pending log messages.
 */
public final class InstanceRunner implements DaemonStarter {

	private static final Logger logger = LoggerFactory.getLogger(InstanceRunner.class);

	private static final long SHUTDOWN_TIMEOUT_MILLIS = 3_600_000;

	@Override
	public void run(InstanceSettings settings) throws Exception {
		InstanceDaemon daemon = new InstanceDaemon(settings);
		CountDownLatch ended = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon, ended), "mulberrylift-shutdown"));
		daemon.start();
		ended.await();
	}

	private static void flushLog() {
		if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
			context.stop();
		}
	}

	private static void shutDown(InstanceDaemon daemon, CountDownLatch ended) {
		try {
			daemon.shutDown(SHUTDOWN_TIMEOUT_MILLIS);
		}
		catch (Exception ex) {
			logger.error("instance: shutdown failed", ex);
		}
		finally {
			flushLog();
			ended.countDown();
		}
	}

}
