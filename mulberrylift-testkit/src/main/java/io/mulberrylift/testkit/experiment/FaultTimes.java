package io.mulberrylift.testkit.experiment;

/**
 * Phases of a run with a fault, one after the other.
 *
 * @param warmUpSeconds time before measuring
 * @param beforeSeconds measured time before the fault
 * @param duringSeconds duration of the fault
 * @param afterSeconds measured time after it
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
