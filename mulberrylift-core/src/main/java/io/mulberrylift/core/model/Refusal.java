package io.mulberrylift.core.model;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * The final result of a request that gets no complete answer.
 *
 * <p>
 * Immutable. The outcome is {@link Outcome#NOT_RUN} only if no byte of the request can
 * have been sent to an endpoint.
 * </p>
 *
 * @param outcome what is known about the execution
 * @param reason the typed reason
 * @param detail details of the cause, may be empty
 * @param retryAfterMillis delay before the caller should retry in milliseconds, empty
 * when a retry does not help
 */
public record Refusal(Outcome outcome, RefusalReason reason, String detail, OptionalLong retryAfterMillis) {

	/**
	 * Creates the refusal.
	 * @throws NullPointerException if an argument is null
	 */
	public Refusal {
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(detail, "detail");
		Objects.requireNonNull(retryAfterMillis, "retryAfterMillis");
	}

	/**
	 * Creates a refusal after which a retry does not help.
	 * @param outcome what is known about the execution
	 * @param reason the typed reason
	 * @param detail details of the cause, may be empty
	 * @return the refusal
	 */
	public static Refusal of(Outcome outcome, RefusalReason reason, String detail) {
		return new Refusal(outcome, reason, detail, OptionalLong.empty());
	}

	/**
	 * Creates a refusal after which the caller may retry.
	 * @param outcome what is known about the execution
	 * @param reason the typed reason
	 * @param detail details of the cause, may be empty
	 * @param retryAfterMillis delay before the caller should retry in milliseconds
	 * @return the refusal
	 */
	public static Refusal retryable(Outcome outcome, RefusalReason reason, String detail, long retryAfterMillis) {
		return new Refusal(outcome, reason, detail, OptionalLong.of(retryAfterMillis));
	}

}
