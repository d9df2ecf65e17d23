package io.mulberrylift.testkit.service;

/**
 * State of the fault switches of a service. Thread-safe.
 */
final class ServiceFaults {

	private volatile boolean draining;

	private volatile boolean refusing;

	private volatile boolean crashBefore;

	private volatile boolean crashAfter;

	private volatile long latencyMillis;

	ServiceFaults(long latencyMillis) {
		this.latencyMillis = latencyMillis;
	}

	boolean draining() {
		return this.draining;
	}

	void setDraining(boolean on) {
		this.draining = on;
	}

	boolean refusesCalls() {
		return this.draining || this.refusing;
	}

	void setRefusing(boolean on) {
		this.refusing = on;
	}

	boolean crashBefore() {
		return this.crashBefore;
	}

	void crashBefore(boolean on) {
		this.crashBefore = on;
	}

	boolean crashAfter() {
		return this.crashAfter;
	}

	void crashAfter(boolean on) {
		this.crashAfter = on;
	}

	long latencyMillis() {
		return this.latencyMillis;
	}

	void setLatencyMillis(long millis) {
		this.latencyMillis = millis;
	}

}
