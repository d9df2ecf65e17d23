package io.mulberrylift.daemon.endpoint;

import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.daemon.outbound.HttpReply;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.ReplyCallback;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels attempts on model engines and retries until the engine confirms the
 * cancellation or is no longer listed.
 *
 * <p>
 * Safe for use by several threads. If the engine had not answered the attempt, the
 * request may arrive after the first cancellation. The cancellation is then sent again
 * {@value #SECOND_CONFIRMATION_MILLIS} milliseconds after its confirmation and must be
 * confirmed a second time.
 * </p>
 */
public final class AttemptCanceller {

	private static final Logger LOGGER = LoggerFactory.getLogger(AttemptCanceller.class);

	private static final int SECOND_CONFIRMATION_MILLIS = 1_000;

	private static final long FIRST_BACKOFF_MILLIS = 100;

	private static final long MAX_BACKOFF_MILLIS = 5_000;

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final int MAX_REPLY_BYTES = 64 * 1_024;

	private static final int STATUS_NO_CONTENT = 204;

	private final EndpointDirectory directory;

	private final OutboundHttpClient client;

	private final ScheduledExecutorService timer;

	private final RandomGenerator random;

	private final AtomicInteger pendingCancellations = new AtomicInteger();

	/**
	 * Creates the canceller.
	 * @param directory the published endpoints
	 * @param client sends the calls
	 * @param timer schedules retries
	 * @param random source of jitter, used by the timer's threads
	 */
	public AttemptCanceller(EndpointDirectory directory, OutboundHttpClient client, ScheduledExecutorService timer,
			RandomGenerator random) {
		this.directory = directory;
		this.client = client;
		this.timer = timer;
		this.random = random;
	}

	/**
	 * Counts the cancellations that are not yet confirmed. A graceful shutdown waits
	 * until there are none.
	 * @return the number of pending cancellations
	 */
	public int pendingCancellations() {
		return this.pendingCancellations.get();
	}

	void cancel(EndpointId endpoint, String attemptName, boolean engineAnswered) {
		this.pendingCancellations.incrementAndGet();
		send(new Cancellation(endpoint, attemptName, (engineAnswered) ? 1 : 2, FIRST_BACKOFF_MILLIS));
	}

	private void send(Cancellation cancellation) {
		Optional<EndpointDescription> endpoint = this.directory.find(cancellation.endpoint());
		if (endpoint.isEmpty()) {
			LOGGER.info("endpoint: {} is no longer listed; dropping the cancellation of attempt {}",
					cancellation.endpoint(), cancellation.attemptName());
			this.pendingCancellations.decrementAndGet();
			return;
		}
		try {
			BasicHttpRequest request = new BasicHttpRequest(Method.DELETE,
					OutboundHttpClient.host(endpoint.get().address()),
					"/engine/v1/attempts/" + AttemptNames.encodePathSegment(cancellation.attemptName()));
			this.client.call(request, Optional.empty(), MAX_REPLY_BYTES, TIMEOUT_MILLIS,
					new ReplyCallback<>((reply) -> replyReceived(cancellation, reply), (ex) -> retry(cancellation)));
		}
		catch (RuntimeException ex) {
			retry(cancellation);
		}
	}

	private void replyReceived(Cancellation cancellation, HttpReply reply) {
		if (reply.status() != STATUS_NO_CONTENT) {
			retry(cancellation);
		}
		else if (cancellation.remainingConfirmations() > 1) {
			schedule(cancellation.afterConfirmation(), SECOND_CONFIRMATION_MILLIS);
		}
		else {
			this.pendingCancellations.decrementAndGet();
		}
	}

	private void retry(Cancellation cancellation) {
		long backoffMillis = cancellation.backoffMillis();
		schedule(cancellation.afterFailure(), backoffMillis / 2 + this.random.nextLong(backoffMillis));
	}

	private void schedule(Cancellation cancellation, long delayMillis) {
		try {
			this.timer.schedule(() -> send(cancellation), delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			LOGGER.warn("endpoint: shutting down before {} confirmed the cancellation of attempt {}",
					cancellation.endpoint(), cancellation.attemptName());
			this.pendingCancellations.decrementAndGet();
		}
	}

	/**
	 * A cancellation that is not yet confirmed.
	 *
	 * @param endpoint the engine
	 * @param attemptName name of the attempt
	 * @param remainingConfirmations number of confirmations still required
	 * @param backoffMillis base of the next retry delay, in milliseconds
	 */
	private record Cancellation(EndpointId endpoint, String attemptName, int remainingConfirmations,
			long backoffMillis) {

		Cancellation afterConfirmation() {
			return new Cancellation(this.endpoint, this.attemptName, this.remainingConfirmations - 1,
					FIRST_BACKOFF_MILLIS);
		}

		Cancellation afterFailure() {
			return new Cancellation(this.endpoint, this.attemptName, this.remainingConfirmations,
					Math.min(MAX_BACKOFF_MILLIS, 2 * this.backoffMillis));
		}

	}

}
