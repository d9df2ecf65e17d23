package io.mulberrylift.daemon.outbound;

import java.util.concurrent.CancellationException;
import java.util.function.Consumer;

import org.apache.hc.core5.concurrent.FutureCallback;

/**
 * Passes the result of an outbound call to one function and its failure to another.
 *
 * <p>
 * Exactly one outcome is reported, once. An exception thrown by the result function, for
 * example on a malformed response, makes the call count as failed and is passed to the
 * failure function.
 * </p>
 *
 * @param <T> the result
 */
public final class ReplyCallback<T> implements FutureCallback<T> {

	private final ThrowingConsumer<T> onReply;

	private final Consumer<Exception> onFailure;

	/**
	 * Creates the callback.
	 * @param onReply receives the result
	 * @param onFailure receives the failure
	 */
	public ReplyCallback(ThrowingConsumer<T> onReply, Consumer<Exception> onFailure) {
		this.onReply = onReply;
		this.onFailure = onFailure;
	}

	@Override
	public void completed(T result) {
		try {
			this.onReply.accept(result);
		}
		catch (Exception ex) {
			this.onFailure.accept(ex);
		}
	}

	@Override
	public void failed(Exception ex) {
		this.onFailure.accept(ex);
	}

	@Override
	public void cancelled() {
		this.onFailure.accept(new CancellationException("Call was cancelled"));
	}

	/**
	 * Processes a result that may turn out to be malformed.
	 *
	 * @param <T> the result
	 */
	@FunctionalInterface
	public interface ThrowingConsumer<T> {

		/**
		 * Processes the result.
		 * @param value the result
		 * @throws Exception if the result violates the protocol
		 */
		void accept(T value) throws Exception;

	}

}
