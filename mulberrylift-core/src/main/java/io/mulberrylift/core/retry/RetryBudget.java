package io.mulberrylift.core.retry;

/**
 * Bounds retries to a share of first tries, so that an outage does not multiply load.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. The balance never exceeds
 * {@value #MAX_BALANCE} retries.
 * </p>
 */
public final class RetryBudget {

	private static final double MAX_BALANCE = 20;

	private double balance = MAX_BALANCE / 2;

	/**
	 * Records a first try.
	 * @param share retries earned by it
	 */
	public void firstAttempt(double share) {
		this.balance = Math.min(MAX_BALANCE, this.balance + share);
	}

	/**
	 * Takes one retry from the balance.
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
	 * Returns how many retries are left.
	 * @return the balance
	 */
	public double balance() {
		return this.balance;
	}

}
