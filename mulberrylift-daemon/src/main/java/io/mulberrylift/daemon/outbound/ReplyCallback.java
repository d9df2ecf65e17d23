package io.mulberrylift.daemon.outbound;

import java.util.concurrent.CancellationException;
import java.util.function.Consumer;

import org.apache.hc.core5.concurrent.FutureCallback;

/**
 * Tells two functions how an outbound call ended.
 *
 * <p>
 * Exactly one of the functions is called, once. An exception of the success function, for
 * example on a malformed answer, counts as a failure of the call.
 * </p>
 *
 * @param <T> the result
 */
public final class ReplyCallback<T> implements FutureCallback<T> {

	private final ThrowingConsumer<T> onReply;

	private final Consumer<Exception> onFailure;

	/**
	 * Creates the callback.
	 * @param onReply takes the answer
	 * @param onFailure takes the failure
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
	 * Takes an answer that may turn out to be malformed.
	 *
	 * @param <T> the answer
	 */
	@FunctionalInterface
	public interface ThrowingConsumer<T> {

		/**
		 * Takes the answer.
		 * @param value the answer
		 * @throws Exception if it is not as the contract says
		 */
		void accept(T value) throws Exception;

	}

}
