package io.mulberrylift.daemon.exchange;

import java.util.Optional;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;

/**
 * One request of a caller that is in progress in this process.
 *
 * <p>
 * Safe for use by several threads. Exactly one of {@link #complete()},
 * {@link #refuse(Refusal)} and {@link #replay(StoredAnswer)} ends it; later calls have no
 * effect.
 * </p>
 */
public interface CallerExchange {

	/**
	 * Returns what the reducer knows of the request.
	 * @return the description
	 */
	RequestSpec spec();

	/**
	 * Returns the body of a completion request.
	 * @return the body, empty for a plain-service call
	 */
	Optional<ModelCall> modelCall();

	/**
	 * Returns the call to a plain service.
	 * @return the call, empty for a completion request
	 */
	Optional<ServiceCall> serviceCall();

	/**
	 * Returns where the answer goes.
	 * @return the sink
	 */
	AnswerSink sink();

	/**
	 * Returns the whole answer for storing, as the caller receives it.
	 * @return the answer, empty when it is not whole or larger than
	 * {@value AnswerSink#MAX_BUFFERED_BYTES} bytes
	 */
	Optional<StoredAnswer> storedAnswer();

	/**
	 * Sends the end of the answer.
	 */
	void complete();

	/**
	 * Sends the final refusal.
	 * @param refusal the refusal
	 */
	void refuse(Refusal refusal);

	/**
	 * Sends a stored answer.
	 * @param answer the answer
	 */
	void replay(StoredAnswer answer);

}
