package io.mulberrylift.daemon.caller;

import java.util.function.Function;

import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Result of a check of a caller's request.
 *
 * @param <T> what a valid request gives
 */
public sealed interface CheckResult<T> {

	/**
	 * Goes on with the next check when this one passed.
	 * @param <R> what the next check gives
	 * @param next the next check
	 * @return the result of the next check, or this refusal
	 */
	<R> CheckResult<R> then(Function<T, CheckResult<R>> next);

	/**
	 * Creates a passed check.
	 * @param <T> type of the value
	 * @param value the value, not null
	 * @return the result
	 */
	static <T> CheckResult<T> valid(T value) {
		return new Valid<>(value);
	}

	/**
	 * Creates a refusal of a request that has not run.
	 * @param <T> type of the value that a passed check gives
	 * @param reason the typed reason
	 * @param detail what exactly was wrong
	 * @return the result
	 */
	static <T> CheckResult<T> refused(RefusalReason reason, String detail) {
		return new Refused<>(Refusal.of(Outcome.NOT_RUN, reason, detail));
	}

	/**
	 * The check passed.
	 *
	 * @param <T> type of the value
	 * @param value what the request gave
	 */
	record Valid<T>(T value) implements CheckResult<T> {

		@Override
		public <R> CheckResult<R> then(Function<T, CheckResult<R>> next) {
			return next.apply(this.value);
		}

	}

	/**
	 * The request must not run.
	 *
	 * @param <T> type of the value that a passed check gives
	 * @param refusal the final word
	 */
	record Refused<T>(Refusal refusal) implements CheckResult<T> {

		@Override
		public <R> CheckResult<R> then(Function<T, CheckResult<R>> next) {
			return new Refused<>(this.refusal);
		}

	}

}
