package io.mulberrylift.testkit.engine;

/**
 * State of the fault switches of an engine. Thread-safe.
 */
final class EngineFaults {

	private StreamFaults nextStream = StreamFaults.NONE;

	private String crashMarker = "";

	private int refusalStatus;

	private boolean draining;

	synchronized void truncateNext(int afterTokens) {
		this.nextStream = this.nextStream.withStop(afterTokens, false);
	}

	synchronized void failNext(int afterTokens) {
		this.nextStream = this.nextStream.withStop(afterTokens, true);
	}

	synchronized void duplicateNext() {
		this.nextStream = this.nextStream.withDuplicate();
	}

	synchronized void reorderNext() {
		this.nextStream = this.nextStream.withReorder();
	}

	synchronized StreamFaults takeNextStream() {
		StreamFaults faults = this.nextStream;
		this.nextStream = StreamFaults.NONE;
		return faults;
	}

	synchronized void setCrashMarker(String marker) {
		this.crashMarker = (marker != null) ? marker : "";
	}

	synchronized boolean crashesOn(String prompt) {
		return !this.crashMarker.isEmpty() && prompt.contains(this.crashMarker);
	}

	synchronized void setRefusalStatus(int status) {
		this.refusalStatus = status;
	}

	synchronized int refusalStatus() {
		return this.refusalStatus;
	}

	synchronized void setDraining(boolean on) {
		this.draining = on;
	}

	synchronized boolean draining() {
		return this.draining;
	}

	record PromptMarker(String marker) {
	}

	record SlowdownFactor(double factor) {
	}

	record StopAfter(int afterTokens) {
	}

	record Refusal(Boolean on, Integer status) {

		private static final int BUSY_STATUS = 429;

		int effectiveStatus() {
			if (Boolean.FALSE.equals(this.on)) {
				return 0;
			}
			return (this.status != null) ? this.status : BUSY_STATUS;
		}

	}

}
