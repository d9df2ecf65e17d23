package io.mulberrylift.daemon.caller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.mulberrylift.daemon.exchange.AnswerSink;
import jakarta.servlet.AsyncContext;
import jakarta.servlet.AsyncEvent;
import jakarta.servlet.AsyncListener;
import jakarta.servlet.ServletOutputStream;
import jakarta.servlet.WriteListener;
import jakarta.servlet.http.HttpServletResponse;

/**
 * Sends one response without blocking a thread.
 *
 * <p>
 * Thread-safe; chunks are sent in the order of the calls. At most one thread at a time
 * uses the container's output. Every response ends by {@link #finish()} or by a failure
 * of the connection.
 * </p>
 */
final class ResponseStream implements WriteListener, AsyncListener {

	private static final int RESUME_BYTES = AnswerSink.MAX_BUFFERED_BYTES / 2;

	private final AsyncContext context;

	private final Runnable onFailure;

	private final Runnable onCompleted;

	private final Queue<byte[]> chunks = new ConcurrentLinkedQueue<>();

	private final AtomicLong bufferedBytes = new AtomicLong();

	private final AtomicInteger pendingPumps = new AtomicInteger();

	private final AtomicBoolean begun = new AtomicBoolean();

	private final AtomicBoolean completed = new AtomicBoolean();

	private final AtomicBoolean failed = new AtomicBoolean();

	private final List<Runnable> waitingActions = new ArrayList<>();

	private volatile boolean writable;

	private volatile boolean finished;

	private ServletOutputStream output;

	private long sendingBytes;

	private boolean flushPending;

	/**
	 * Creates the stream.
	 * @param context context of the started asynchronous call
	 * @param onFailure runs once if the connection fails before the response is finished
	 * @param onCompleted runs when the container has ended the call
	 */
	ResponseStream(AsyncContext context, Runnable onFailure, Runnable onCompleted) {
		this.context = context;
		this.onFailure = onFailure;
		this.onCompleted = onCompleted;
		context.addListener(this);
	}

	/**
	 * Returns whether the response has begun.
	 * @return true if status and headers have been set
	 */
	boolean begun() {
		return this.begun.get();
	}

	/**
	 * Returns whether the connection has failed.
	 * @return true if nothing more can be sent
	 */
	boolean failed() {
		return this.failed.get();
	}

	/**
	 * Returns the size of the chunks that the container has not yet written.
	 * @return the size in bytes
	 */
	long bufferedBytes() {
		return this.bufferedBytes.get();
	}

	/**
	 * Begins the response with status and headers. Only the first call has an effect.
	 * @param status the HTTP status
	 * @param headers the headers
	 */
	void begin(int status, Map<String, List<String>> headers) {
		if (this.failed.get() || !this.begun.compareAndSet(false, true)) {
			return;
		}
		try {
			HttpServletResponse response = (HttpServletResponse) this.context.getResponse();
			response.setStatus(status);
			headers.forEach((name, values) -> setHeader(response, name, values));
			this.output = response.getOutputStream();
			this.output.setWriteListener(this);
		}
		catch (IOException | IllegalStateException ex) {
			fail();
		}
	}

	/**
	 * Sends a chunk after all earlier ones.
	 * @param chunk the bytes
	 * @return whether more may be sent now; true also after a failure, when chunks are
	 * discarded
	 */
	boolean send(byte[] chunk) {
		if (this.failed.get()) {
			return true;
		}
		this.bufferedBytes.addAndGet(chunk.length);
		this.chunks.add(chunk);
		pump();
		return this.failed.get() || this.bufferedBytes.get() <= AnswerSink.MAX_BUFFERED_BYTES;
	}

	/**
	 * Ends the response after all chunks have been written.
	 */
	void finish() {
		this.finished = true;
		pump();
	}

	/**
	 * Runs an action once, as soon as more may be sent or the connection has failed.
	 * @param action the action
	 */
	void whenWritable(Runnable action) {
		synchronized (this.waitingActions) {
			this.waitingActions.add(action);
		}
		runWaitingActions();
	}

	@Override
	public void onWritePossible() {
		this.writable = true;
		pump();
	}

	@Override
	public void onError(Throwable problem) {
		fail();
	}

	@Override
	public void onComplete(AsyncEvent event) {
		this.completed.set(true);
		this.onCompleted.run();
	}

	@Override
	public void onTimeout(AsyncEvent event) {
		fail();
	}

	@Override
	public void onError(AsyncEvent event) {
		fail();
	}

	@Override
	public void onStartAsync(AsyncEvent event) {
		// Asynchronous processing is never restarted.
	}

	/**
	 * Marks the connection as failed, discards unsent chunks and ends the call.
	 */
	void fail() {
		if (!this.failed.compareAndSet(false, true)) {
			return;
		}
		this.chunks.clear();
		if (!this.finished) {
			this.onFailure.run();
		}
		complete();
		runWaitingActions();
	}

	private static void setHeader(HttpServletResponse response, String name, List<String> values) {
		values.stream().limit(1).forEach((value) -> response.setHeader(name, value));
		values.stream().skip(1).forEach((value) -> response.addHeader(name, value));
	}

	private void complete() {
		if (!this.completed.compareAndSet(false, true)) {
			return;
		}
		try {
			this.context.complete();
		}
		catch (IllegalStateException ex) {
			// The container has already ended the call.
			this.chunks.clear();
		}
	}

	private void pump() {
		if (this.pendingPumps.getAndIncrement() != 0) {
			return;
		}
		int handled = 1;
		do {
			drain();
			handled = this.pendingPumps.addAndGet(-handled);
		}
		while (handled != 0);
		runWaitingActions();
	}

	private void drain() {
		try {
			while (mayWrite()) {
				subtractSentBytes();
				if (!writeNext()) {
					return;
				}
			}
		}
		catch (IOException | IllegalStateException ex) {
			fail();
		}
	}

	private boolean mayWrite() {
		return this.writable && !this.failed.get() && !this.completed.get() && this.output.isReady();
	}

	private void subtractSentBytes() {
		this.bufferedBytes.addAndGet(-this.sendingBytes);
		this.sendingBytes = 0;
	}

	private boolean writeNext() throws IOException {
		boolean last = this.finished;
		byte[] chunk = this.chunks.poll();
		if (chunk != null) {
			this.sendingBytes = chunk.length;
			this.flushPending = true;
			this.output.write(chunk);
			return true;
		}
		if (last) {
			complete();
			return false;
		}
		if (this.flushPending) {
			this.flushPending = false;
			this.output.flush();
			return true;
		}
		return false;
	}

	private void runWaitingActions() {
		boolean ready = this.failed.get() || this.bufferedBytes.get() <= RESUME_BYTES;
		if (!ready) {
			return;
		}
		List<Runnable> actions;
		synchronized (this.waitingActions) {
			actions = List.copyOf(this.waitingActions);
			this.waitingActions.clear();
		}
		actions.forEach(Runnable::run);
	}

}
