package io.mulberrylift.core.admission;

import java.util.Objects;

/**
 * A request as far as its admission is concerned. Immutable.
 *
 * @param service service that it is for
 * @param route its route
 * @param workspace its workspace, empty if it has none
 * @param rank its rank, 0 is the most urgent
 * @param costMillis work that it takes, in milliseconds of one place of the service
 * @param ownMillis part of the time until its first byte that it needs itself
 * @param expectedMillis predicted time from now until its first byte
 * @param targetMillis target for the time from now until its first byte
 * @param remainingMillis time until its deadline
 * @param fingerprint hash that is equal if its caller sends it again
 */
public record AdmissionRequest(String service, String route, String workspace, int rank, double costMillis,
		double ownMillis, double expectedMillis, long targetMillis, long remainingMillis, long fingerprint) {

	/** Part of the target from which waiting is the cause of a late first byte. */
	private static final double WAITING_PART = 0.25;

	/**
	 * Creates the request.
	 */
	public AdmissionRequest {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(route, "route");
		Objects.requireNonNull(workspace, "workspace");
		rank = Math.max(0, rank);
		costMillis = Math.max(1, costMillis);
	}

	/**
	 * Returns whether its first byte is expected after its target because it has to wait.
	 * @return false also if it would be late on idle endpoints
	 */
	boolean isLate() {
		return this.expectedMillis > this.targetMillis
				&& this.expectedMillis - this.ownMillis > WAITING_PART * this.targetMillis
				&& this.ownMillis <= this.targetMillis;
	}

	/**
	 * Returns the class of its size. Sizes of one class differ by less than a factor of
	 * two.
	 * @return the class, 0 for the smallest
	 */
	int sizeClass() {
		return Math.max(0, Math.getExponent(this.costMillis));
	}

}
