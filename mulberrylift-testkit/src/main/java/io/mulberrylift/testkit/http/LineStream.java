package io.mulberrylift.testkit.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Response that is sent line by line without blocking a thread. Lines added while a write
 * is in progress are sent together in the next write.
 *
 * <p>
 * Invariants: lines are sent in the order in which they were added; nothing is sent after
 * the end of the stream or a failure. While the stream is open, it monitors the
 * connection and reports once if the caller disconnects. Thread-safe.
 * </p>
 */
public final class LineStream {

	private final Response response;

	private final Callback callback;

	private final EndPoint endPoint;

	private final Runnable onClosed;

	private final StringBuilder pending = new StringBuilder();

	private boolean writing;

	private boolean endRequested;

	private boolean abortRequested;

	private boolean closed;

	LineStream(Response response, Callback callback, EndPoint endPoint, Runnable onClosed) {
		this.response = response;
		this.callback = callback;
		this.endPoint = endPoint;
		this.onClosed = onClosed;
	}

	/**
	 * Sends a line.
	 * @param line the line without the line terminator
	 */
	public void send(String line) {
		synchronized (this) {
			this.pending.append(line).append('\n');
		}
		writeNext();
	}

	/**
	 * Ends the response after all pending lines have been sent.
	 */
	public void end() {
		synchronized (this) {
			this.endRequested = true;
		}
		writeNext();
	}

	/**
	 * Aborts the response by closing the connection after all pending lines have been
	 * sent.
	 */
	public void abort() {
		synchronized (this) {
			this.abortRequested = true;
		}
		writeNext();
	}

	void begin() {
		this.endPoint.tryFillInterested(Callback.from(this::readable, this::callerDisconnected));
		synchronized (this) {
			this.writing = true;
		}
		this.response.write(false, BufferUtil.EMPTY_BUFFER,
				Callback.from(this::writeCompleted, this::callerDisconnected));
	}

	private void writeNext() {
		ByteBuffer buffer;
		Step step;
		synchronized (this) {
			step = nextStep();
			buffer = BufferUtil.toBuffer(this.pending.toString(), StandardCharsets.UTF_8);
			if (step != Step.NONE) {
				this.pending.setLength(0);
				this.writing = true;
				this.closed = step != Step.WRITE;
			}
		}
		switch (step) {
			case WRITE ->
				this.response.write(false, buffer, Callback.from(this::writeCompleted, this::callerDisconnected));
			case END -> {
				stopWatching();
				this.response.write(true, buffer, this.callback);
			}
			case ABORT -> abortConnection();
			default -> {
			}
		}
	}

	private Step nextStep() {
		if (this.writing || this.closed) {
			return Step.NONE;
		}
		if (this.abortRequested) {
			return this.pending.isEmpty() ? Step.ABORT : Step.WRITE;
		}
		if (this.endRequested) {
			return Step.END;
		}
		return this.pending.isEmpty() ? Step.NONE : Step.WRITE;
	}

	private void writeCompleted() {
		synchronized (this) {
			this.writing = false;
		}
		writeNext();
	}

	private void readable() {
		try {
			if (this.endPoint.fill(BufferUtil.allocate(1)) < 0) {
				callerDisconnected(new EofException("connection closed by the caller"));
			}
		}
		catch (IOException ex) {
			callerDisconnected(ex);
		}
	}

	private void callerDisconnected(Throwable failure) {
		synchronized (this) {
			if (this.closed) {
				return;
			}
			this.closed = true;
		}
		this.endPoint.close();
		this.callback.failed(failure);
		this.onClosed.run();
	}

	private void abortConnection() {
		this.endPoint.close();
		this.callback.failed(new EofException("response stream aborted"));
	}

	private void stopWatching() {
		if (this.endPoint instanceof AbstractEndPoint watched) {
			watched.getFillInterest().onFail(new EofException("response stream ended"));
		}
	}

	private enum Step {

		NONE, WRITE, END, ABORT

	}

}
