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
 * Cancels tries at model engines until the engine confirms it or is no longer listed.
 *
 * <p>
 * Safe for use by several threads. When the engine had not answered the try, the request
 * may arrive after the first cancellation; the cancellation is then confirmed a second
 * time, {@value #SECOND_CONFIRMATION_MILLIS} milliseconds later.
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
	 * @param client carries the calls
	 * @param timer runs repetitions
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
	 * Returns how many tries wait for a confirmation. A graceful shutdown waits for 0.
	 * @return the number of tries
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
			LOGGER.info("endpoint: {} is no longer listed; dropped the cancellation of {}", cancellation.endpoint(),
					cancellation.attemptName());
			this.pendingCancellations.decrementAndGet();
			return;
		}
		try {
			BasicHttpRequest request = new BasicHttpRequest(Method.DELETE,
					OutboundHttpClient.host(endpoint.get().address()),
					"/engine/v1/attempts/" + AttemptNames.encodePathSegment(cancellation.attemptName()));
			this.client.call(request, Optional.empty(), MAX_REPLY_BYTES, TIMEOUT_MILLIS,
					new ReplyCallback<>((reply) -> answered(cancellation, reply), (ex) -> repeat(cancellation)));
		}
		catch (RuntimeException ex) {
			repeat(cancellation);
		}
	}

	private void answered(Cancellation cancellation, HttpReply reply) {
		if (reply.status() != STATUS_NO_CONTENT) {
			repeat(cancellation);
		}
		else if (cancellation.confirmationsMissing() > 1) {
			schedule(cancellation.confirmed(), SECOND_CONFIRMATION_MILLIS);
		}
		else {
			this.pendingCancellations.decrementAndGet();
		}
	}

	private void repeat(Cancellation cancellation) {
		long backoffMillis = cancellation.backoffMillis();
		schedule(cancellation.failed(), backoffMillis / 2 + this.random.nextLong(backoffMillis));
	}

	private void schedule(Cancellation cancellation, long delayMillis) {
		try {
			this.timer.schedule(() -> send(cancellation), delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			LOGGER.warn("endpoint: process ends before {} confirmed the cancellation of {}", cancellation.endpoint(),
					cancellation.attemptName());
			this.pendingCancellations.decrementAndGet();
		}
	}

	/**
	 * A cancellation that is not yet confirmed.
	 *
	 * @param endpoint the engine
	 * @param attemptName name of the try
	 * @param confirmationsMissing how often the engine must still confirm
	 * @param backoffMillis next delay after a failure, in milliseconds
	 */
	private record Cancellation(EndpointId endpoint, String attemptName, int confirmationsMissing, long backoffMillis) {

		Cancellation confirmed() {
			return new Cancellation(this.endpoint, this.attemptName, this.confirmationsMissing - 1,
					FIRST_BACKOFF_MILLIS);
		}

		Cancellation failed() {
			return new Cancellation(this.endpoint, this.attemptName, this.confirmationsMissing,
					Math.min(MAX_BACKOFF_MILLIS, 2 * this.backoffMillis));
		}

	}

}
