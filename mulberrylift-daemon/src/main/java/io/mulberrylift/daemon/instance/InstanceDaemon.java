package io.mulberrylift.daemon.instance;

import java.util.concurrent.ScheduledExecutorService;

import com.google.inject.Guice;
import com.google.inject.Injector;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.daemon.caller.HttpServer;
import io.mulberrylift.daemon.caller.OpenCalls;
import io.mulberrylift.daemon.endpoint.AttemptCanceller;
import io.mulberrylift.daemon.loop.EffectRouter;
import io.mulberrylift.daemon.loop.EventLoop;
import io.mulberrylift.daemon.peer.PeerLinks;
import io.mulberrylift.daemon.peer.PeerServer;
import io.mulberrylift.daemon.settings.InstanceSettings;
import io.netty.channel.EventLoopGroup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One entry instance in this process.
 *
 * <p>
 * Started and shut down once. A shutdown first refuses new requests, then waits until
 * every request has its final answer, every answer has been delivered and all engine
 * memory has been released.
 * </p>
 */
public final class InstanceDaemon {

	private static final Logger logger = LoggerFactory.getLogger(InstanceDaemon.class);

	private static final long POLL_INTERVAL_MILLIS = 20;

	private final InstanceSettings settings;

	private final Injector injector;

	/**
	 * Creates an instance that is not started yet.
	 * @param settings its validated settings
	 */
	public InstanceDaemon(InstanceSettings settings) {
		this.settings = settings;
		this.injector = Guice.createInjector(new InstanceModule(settings));
	}

	/**
	 * Opens the ports and starts to serve requests.
	 * @throws Exception if a port cannot be opened
	 */
	public void start() throws Exception {
		this.injector.getInstance(EventLoop.class).start(this.injector.getInstance(EffectRouter.class));
		this.injector.getInstance(HttpServer.class).start();
		logger.info("instance: {} in {} serves callers on port {}, operators on port {} and instances on port {}",
				this.settings.instanceId(), this.settings.zone(), callerPort(), operatorPort(), peerPort());
	}

	/**
	 * Returns the port that serves callers.
	 * @return the port in use
	 */
	public int callerPort() {
		return this.injector.getInstance(HttpServer.class).callerPort();
	}

	/**
	 * Returns the port that serves operators.
	 * @return the port in use
	 */
	public int operatorPort() {
		return this.injector.getInstance(HttpServer.class).operatorPort();
	}

	/**
	 * Returns the port that serves other instances.
	 * @return the port in use
	 */
	public int peerPort() {
		return this.injector.getInstance(PeerServer.class).port();
	}

	/**
	 * Shuts down gracefully.
	 * @param timeoutMillis maximum wait for each step of the shutdown, in milliseconds
	 * @return true if all work finished in time
	 * @throws Exception if a port cannot be closed or the thread is interrupted
	 */
	public boolean shutDown(long timeoutMillis) throws Exception {
		logger.info("instance: shutdown started");
		this.injector.getInstance(OperatorQueries.class).markShuttingDown();
		EventLoop loop = this.injector.getInstance(EventLoop.class);
		loop.submit(ControlEvent.ShutdownRequested::new);
		boolean finished = this.injector.getInstance(ControlHandler.class).awaitExit(timeoutMillis);
		finished &= this.injector.getInstance(OpenCalls.class).awaitIdle(timeoutMillis);
		finished &= awaitCancellations(timeoutMillis);
		close();
		logger.info("instance: shutdown ended {}", finished ? "with all work finished" : "with work unfinished");
		return finished;
	}

	private boolean awaitCancellations(long timeoutMillis) throws InterruptedException {
		AttemptCanceller canceller = this.injector.getInstance(AttemptCanceller.class);
		for (long waitedMillis = 0; canceller.pendingCancellations() > 0; waitedMillis += POLL_INTERVAL_MILLIS) {
			if (waitedMillis >= timeoutMillis) {
				return false;
			}
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
		return true;
	}

	/**
	 * Stops immediately, without waiting for work in progress.
	 * @throws Exception if a port cannot be closed
	 */
	public void close() throws Exception {
		this.injector.getInstance(HttpServer.class).stop();
		this.injector.getInstance(EventLoop.class).close();
		this.injector.getInstance(PeerLinks.class).close();
		this.injector.getInstance(PeerServer.class).close();
		this.injector.getInstance(OutboundClients.class).close();
		this.injector.getInstance(ScheduledExecutorService.class).shutdownNow();
		this.injector.getInstance(EventLoopGroup.class).shutdownGracefully();
	}

}
