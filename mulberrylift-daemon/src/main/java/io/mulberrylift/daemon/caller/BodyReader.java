package io.mulberrylift.daemon.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import jakarta.servlet.ReadListener;
import jakarta.servlet.ServletInputStream;

/**
 * Reads the body of one request without blocking a thread.
 *
 * <p>
 * Thread-safe. Exactly one of the receiver's methods is called, once.
 * </p>
 */
final class BodyReader implements ReadListener {

	private static final int BUFFER_BYTES = 16 * 1_024;

	private static final long OVERLOADED_RETRY_MILLIS = 1_000;

	private final ServletInputStream input;

	private final BodyLimits limits;

	private final OpenCalls.Permit permit;

	private final BodyReceiver receiver;

	private final AtomicBoolean done = new AtomicBoolean();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final byte[] buffer = new byte[BUFFER_BYTES];

	private volatile Future<?> timeout;

	/**
	 * Creates the reader.
	 * @param input input stream of the request
	 * @param limits limits on the body
	 * @param permit reserves memory for the body
	 * @param receiver notified of the result
	 */
	BodyReader(ServletInputStream input, BodyLimits limits, OpenCalls.Permit permit, BodyReceiver receiver) {
		this.input = input;
		this.limits = limits;
		this.permit = permit;
		this.receiver = receiver;
	}

	/**
	 * Starts reading.
	 * @param timer schedules the timeout
	 */
	void start(ScheduledExecutorService timer) {
		this.timeout = timer.schedule(this::timedOut, this.limits.timeoutMillis(), TimeUnit.MILLISECONDS);
		this.input.setReadListener(this);
	}

	@Override
	public void onDataAvailable() throws IOException {
		while (!this.done.get() && this.input.isReady()) {
			int count = this.input.read(this.buffer);
			if (count < 0) {
				return;
			}
			accept(count);
		}
	}

	@Override
	public void onAllDataRead() {
		if (finish()) {
			this.receiver.received(this.body.toByteArray());
		}
	}

	@Override
	public void onError(Throwable problem) {
		if (finish()) {
			this.receiver.connectionLost();
		}
	}

	private void accept(int count) {
		if (this.body.size() + count > this.limits.maxBodyBytes()) {
			refuse(Refusal.of(Outcome.NOT_RUN, RefusalReason.BODY_TOO_LARGE,
					"The body is larger than the limit of " + this.limits.maxBodyBytes() + " bytes"));
		}
		else if (!this.permit.tryReserve(count)) {
			refuse(Refusal.retryable(Outcome.NOT_RUN, RefusalReason.OVERLOADED,
					"The memory for request bodies is exhausted", OVERLOADED_RETRY_MILLIS));
		}
		else {
			this.body.write(this.buffer, 0, count);
		}
	}

	private void timedOut() {
		refuse(Refusal.of(Outcome.NOT_RUN, RefusalReason.BODY_TIMEOUT,
				"The body did not arrive within " + this.limits.timeoutMillis() + " ms"));
	}

	private void refuse(Refusal refusal) {
		if (finish()) {
			this.receiver.refused(refusal);
		}
	}

	private boolean finish() {
		boolean first = this.done.compareAndSet(false, true);
		if (first) {
			this.timeout.cancel(false);
		}
		return first;
	}

	/**
	 * Limits on a body.
	 *
	 * @param maxBodyBytes maximum size of a body in bytes
	 * @param timeoutMillis time within which the complete body must arrive, in
	 * milliseconds
	 */
	record BodyLimits(int maxBodyBytes, long timeoutMillis) {
	}

	/**
	 * Notified of the result of reading a body.
	 */
	interface BodyReceiver {

		/**
		 * The body was read completely.
		 * @param body the body, empty if there is none
		 */
		void received(byte[] body);

		/**
		 * The body was rejected and is not read any further.
		 * @param refusal the refusal to send
		 */
		void refused(Refusal refusal);

		/**
		 * The connection failed before the body was complete.
		 */
		void connectionLost();

	}

}
