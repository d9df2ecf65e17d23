package io.mulberrylift.core.retry;

/**
 * Limits retries to a share of first attempts, so that an outage does not multiply the
 * load.
 *
 * <p>
 * Not thread-safe; owned by the reducer. The balance never exceeds {@value #MAX_BALANCE}
 * retries.
 * </p>
 */
public final class RetryBudget {

	private static final double MAX_BALANCE = 20;

	private double balance = MAX_BALANCE / 2;

	/**
	 * Records a first attempt and credits its share to the balance.
	 * @param share number of retries, usually a fraction, that a first attempt adds
	 */
	public void firstAttempt(double share) {
		this.balance = Math.min(MAX_BALANCE, this.balance + share);
	}

	/**
	 * Takes one retry from the balance, if at least one is left.
	 * @return whether the retry is allowed
	 */
	public boolean tryAcquire() {
		if (this.balance < 1) {
			return false;
		}
		this.balance -= 1;
		return true;
	}

	/**
	 * Returns the number of retries left.
	 * @return the balance, which may be fractional
	 */
	public double balance() {
		return this.balance;
	}

}
