package io.mulberrylift.core.model;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * The final word on a request that gets no whole answer.
 *
 * <p>
 * Immutable. An {@link Outcome#NOT_RUN} outcome is used only when no byte of a dispatch
 * can have left for an endpoint.
 * </p>
 *
 * @param outcome what is known about the run
 * @param reason the typed reason
 * @param detail what exactly was wrong, may be empty
 * @param retryAfterMillis when to come back in milliseconds, empty when coming back does
 * not help
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
	 * Creates a refusal after which coming back does not help.
	 * @param outcome what is known about the run
	 * @param reason the typed reason
	 * @param detail what exactly was wrong
	 * @return the refusal
	 */
	public static Refusal of(Outcome outcome, RefusalReason reason, String detail) {
		return new Refusal(outcome, reason, detail, OptionalLong.empty());
	}

	/**
	 * Creates a refusal with the time to come back.
	 * @param outcome what is known about the run
	 * @param reason the typed reason
	 * @param detail what exactly was wrong
	 * @param retryAfterMillis when to come back in milliseconds
	 * @return the refusal
	 */
	public static Refusal retryable(Outcome outcome, RefusalReason reason, String detail, long retryAfterMillis) {
		return new Refusal(outcome, reason, detail, OptionalLong.of(retryAfterMillis));
	}

}
