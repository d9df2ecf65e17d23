package io.mulberrylift.testkit.service;

import java.util.List;

/**
 * JSON messages of the stand-in service. All are immutable and thread-safe.
 */
final class ServiceMessages {

	private ServiceMessages() {
	}

	record LoadBody(long incarnation, int runningRequests, int queuedRequests, long queuedPromptTokens,
			long usedMemoryTokens, boolean draining, List<String> loadedModels, String role, long ageMillis) {

		LoadBody withAge(long millis) {
			return new LoadBody(this.incarnation, this.runningRequests, this.queuedRequests, this.queuedPromptTokens,
					this.usedMemoryTokens, this.draining, this.loadedModels, this.role, millis);
		}

	}

	record Latency(long latencyMillis) {

		Latency {
			if (latencyMillis < 0) {
				throw new IllegalArgumentException("latencyMillis must not be negative");
			}
		}

	}

	record Executions(List<Execution> executions) {
	}

}
