package io.mulberrylift.core.admission;

/**
 * Whether a request is admitted. Immutable.
 */
public sealed interface AdmissionDecision {

	/** Admits any request. */
	AdmissionDecision ADMIT = new Admit();

	/**
	 * Returns whether the request is sent to an endpoint.
	 * @return false if it is refused
	 */
	boolean isAdmitted();

	/** The request is sent to an endpoint. */
	record Admit() implements AdmissionDecision {

		@Override
		public boolean isAdmitted() {
			return true;
		}

	}

	/**
	 * The request is refused at once.
	 *
	 * @param retryAfterMillis time after which there may be room for it
	 * @param share share of such requests that is admitted
	 * @param lateShare share of all requests that are late, which shows that room is
	 * scarce
	 * @param demandMillisPerSecond known demand for the service, in milliseconds of one
	 * place per second
	 * @param capacityMillisPerSecond room that this demand is compared with
	 * @param reporters number of instances that the demand is known from
	 * @param figuresAgeMillis age of the oldest of their figures
	 */
	record Refuse(long retryAfterMillis, double share, double lateShare, long demandMillisPerSecond,
			long capacityMillisPerSecond, int reporters, long figuresAgeMillis) implements AdmissionDecision {

		@Override
		public boolean isAdmitted() {
			return false;
		}

	}

}
