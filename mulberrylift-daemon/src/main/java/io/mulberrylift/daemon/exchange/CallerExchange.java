package io.mulberrylift.daemon.exchange;

import java.util.Optional;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;

/**
 * A caller's request that is in progress in this process.
 *
 * <p>
 * Thread-safe. Exactly one of {@link #complete()}, {@link #refuse(Refusal)} and
 * {@link #replay(StoredAnswer)} ends the exchange; later calls have no effect.
 * </p>
 */
public interface CallerExchange {

	/**
	 * Returns the description of the request that the reducer works with.
	 * @return the description
	 */
	RequestSpec spec();

	/**
	 * Returns the body of a completion request.
	 * @return the body, empty for a call to a plain service
	 */
	Optional<ModelCall> modelCall();

	/**
	 * Returns the call to a plain service.
	 * @return the call, empty for a completion request
	 */
	Optional<ServiceCall> serviceCall();

	/**
	 * Returns the sink that passes the endpoint's answer on to the caller.
	 * @return the sink
	 */
	AnswerSink sink();

	/**
	 * Returns the answer in the form in which the caller receives it, for storing under
	 * the request's idempotency key.
	 * @return the answer, empty if it is incomplete, was not retained or is larger than
	 * {@value AnswerSink#MAX_BUFFERED_BYTES} bytes
	 */
	Optional<StoredAnswer> storedAnswer();

	/**
	 * Sends the rest of the answer and ends the exchange.
	 */
	void complete();

	/**
	 * Sends a refusal and ends the exchange.
	 * @param refusal the refusal
	 */
	void refuse(Refusal refusal);

	/**
	 * Sends a stored answer and ends the exchange.
	 * @param answer the answer
	 */
	void replay(StoredAnswer answer);

}
