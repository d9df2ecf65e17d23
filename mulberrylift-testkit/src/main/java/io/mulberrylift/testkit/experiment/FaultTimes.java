package io.mulberrylift.testkit.experiment;

/**
 * Durations of the consecutive phases of a run with a fault.
 *
 * @param warmUpSeconds time before the measurement
 * @param beforeSeconds measured time before the fault
 * @param duringSeconds duration of the fault
 * @param afterSeconds measured time after the fault
 */
record FaultTimes(long warmUpSeconds, long beforeSeconds, long duringSeconds, long afterSeconds) {

	long faultBeginSeconds() {
		return this.warmUpSeconds + this.beforeSeconds;
	}

	long faultEndSeconds() {
		return faultBeginSeconds() + this.duringSeconds;
	}

	long totalSeconds() {
		return faultEndSeconds() + this.afterSeconds;
	}

}
