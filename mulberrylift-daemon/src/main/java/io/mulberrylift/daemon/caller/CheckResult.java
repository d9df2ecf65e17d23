package io.mulberrylift.daemon.caller;

import java.util.function.Function;

import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Result of a check of a caller's request.
 *
 * @param <T> type of the value of a passed check
 */
public sealed interface CheckResult<T> {

	/**
	 * Runs the next check if this one passed.
	 * @param <R> type of the value of the next check
	 * @param next the next check
	 * @return the result of the next check, or this refusal
	 */
	<R> CheckResult<R> then(Function<T, CheckResult<R>> next);

	/**
	 * Creates the result of a passed check.
	 * @param <T> type of the value
	 * @param value the value, not null
	 * @return the result
	 */
	static <T> CheckResult<T> valid(T value) {
		return new Valid<>(value);
	}

	/**
	 * Creates the result of a failed check of a request that has not run.
	 * @param <T> type of the value of a passed check
	 * @param reason the reason
	 * @param detail message that names the invalid value
	 * @return the result
	 */
	static <T> CheckResult<T> refused(RefusalReason reason, String detail) {
		return new Refused<>(Refusal.of(Outcome.NOT_RUN, reason, detail));
	}

	/**
	 * The check passed.
	 *
	 * @param <T> type of the value
	 * @param value value of the check
	 */
	record Valid<T>(T value) implements CheckResult<T> {

		@Override
		public <R> CheckResult<R> then(Function<T, CheckResult<R>> next) {
			return next.apply(this.value);
		}

	}

	/**
	 * The check failed and the request must not run.
	 *
	 * @param <T> type of the value of a passed check
	 * @param refusal the refusal to send
	 */
	record Refused<T>(Refusal refusal) implements CheckResult<T> {

		@Override
		public <R> CheckResult<R> then(Function<T, CheckResult<R>> next) {
			return new Refused<>(this.refusal);
		}

	}

}
