package io.mulberrylift.core.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Records what happened in a simulated fleet and checks the guarantees against these
 * records alone.
 */
final class FleetHistory {

	/** Prefix of the names of work that may run more than once. */
	static final String REPEATABLE = "repeatable";

	private static final long DEADLINE_TOLERANCE_MILLIS = 100;

	private final Map<String, Send> sends = new HashMap<>();

	private final List<Run> runs = new ArrayList<>();

	private final List<String> violations = new ArrayList<>();

	private final Map<String, Long> configurationVersions = new HashMap<>();

	private final Map<Long, Integer> endpointsLost = new HashMap<>();

	private int dispatchesToLeavingEndpoints;

	void recordSend(String send, String key, long atMillis, long timeoutMillis) {
		this.sends.put(send, new Send(key, atMillis, timeoutMillis));
	}

	void answered(String send, long atMillis, Outcome outcome, RefusalReason reason) {
		Send sent = this.sends.get(send);
		if (sent.answeredMillis >= 0) {
			this.violations.add("more than one final answer for " + send);
		}
		sent.answeredMillis = atMillis;
		sent.outcome = outcome;
		sent.reason = reason;
	}

	void recordProcessLoss(String send) {
		this.sends.get(send).processLost = true;
	}

	void recordProcessFreeze(String send, long untilMillis) {
		Send sent = this.sends.get(send);
		sent.frozenUntilMillis = Math.max(sent.frozenUntilMillis, untilMillis);
	}

	void recordRunAfterWindow(String send) {
		this.violations.add(send + " ran after the window of its key");
	}

	void recordRun(String send, String endpoint, long atMillis) {
		this.runs.add(new Run(this.sends.get(send).key, send, endpoint, atMillis));
	}

	void recordDispatchToLeavingEndpoint(String endpoint, boolean detectionOverdue) {
		this.dispatchesToLeavingEndpoints++;
		if (detectionOverdue) {
			this.violations.add("new work was dispatched to leaving endpoint " + endpoint);
		}
	}

	int dispatchesToLeavingEndpoints() {
		return this.dispatchesToLeavingEndpoints;
	}

	void recordExit(String process, Set<String> openSends) {
		if (!openSends.isEmpty()) {
			this.violations.add(process + " exited before it answered " + openSends);
		}
	}

	void recordEndpointLoss(long fingerprint) {
		this.endpointsLost.merge(fingerprint, 1, Integer::sum);
	}

	int endpointsLostTo(long fingerprint) {
		return this.endpointsLost.getOrDefault(fingerprint, 0);
	}

	void recordConfigurationVersion(String process, long version, long atMillis) {
		Long before = this.configurationVersions.put(process, version);
		if (before != null && before > version) {
			this.violations.add("configuration of " + process + " decreased from version " + before + " to " + version);
		}
	}

	/**
	 * Checks all guarantees at the end of a run.
	 * @param endMillis the virtual time at the end of the run
	 * @return the violations, empty if all guarantees hold
	 */
	List<String> violations(long endMillis) {
		List<String> found = new ArrayList<>(this.violations);
		found.addAll(keysRunTwice());
		this.runs.forEach((run) -> this.sends.forEach((name, send) -> {
			if (send.outcome == Outcome.NOT_RUN && !send.key.startsWith(REPEATABLE) && send.key.equals(run.key())
					&& run.atMillis() < send.answeredMillis) {
				found.add(name + " was refused as not run at " + send.answeredMillis + " but ran: " + run);
			}
			if (send.outcome == Outcome.NOT_RUN && run.send().equals(name)) {
				found.add(name + " was refused as not run but ran: " + run);
			}
		}));
		this.sends.forEach((name, send) -> checkDeadline(name, send, endMillis, found));
		return found;
	}

	private List<String> keysRunTwice() {
		List<String> found = new ArrayList<>();
		Set<String> seen = new HashSet<>();
		for (Run run : this.runs) {
			if (run.key().startsWith(REPEATABLE)) {
				continue;
			}
			if (!seen.add(run.key())) {
				found.add("key ran twice: " + this.runs.stream().filter((any) -> any.key().equals(run.key())).toList());
			}
		}
		return found;
	}

	private static void checkDeadline(String name, Send send, long endMillis, List<String> found) {
		long due = Math.max(send.sentMillis + send.timeoutMillis, send.frozenUntilMillis) + DEADLINE_TOLERANCE_MILLIS;
		boolean open = send.answeredMillis < 0;
		if (!send.processLost && due < endMillis && (open || send.answeredMillis > due)) {
			found.add(name + " had no final answer by its deadline, reason " + send.reason);
		}
	}

	long refusalCount(RefusalReason reason) {
		return this.sends.values().stream().filter((send) -> send.reason == reason).count();
	}

	long answered() {
		return this.sends.values().stream().filter((send) -> send.answeredMillis >= 0 && send.outcome == null).count();
	}

	Map<String, Integer> outcomeCounts() {
		Map<String, Integer> counts = new TreeMap<>();
		this.sends.values().forEach((send) -> counts.merge(send.label(), 1, Integer::sum));
		return counts;
	}

	int sends() {
		return this.sends.size();
	}

	int runs() {
		return this.runs.size();
	}

	private record Run(String key, String send, String endpoint, long atMillis) {
	}

	private static final class Send {

		private final String key;

		private final long sentMillis;

		private final long timeoutMillis;

		private long answeredMillis = -1;

		private long frozenUntilMillis;

		private boolean processLost;

		private Outcome outcome;

		private RefusalReason reason;

		private Send(String key, long sentMillis, long timeoutMillis) {
			this.key = key;
			this.sentMillis = sentMillis;
			this.timeoutMillis = timeoutMillis;
		}

		private String label() {
			if (this.answeredMillis < 0) {
				return "unanswered";
			}
			return (this.reason != null) ? this.reason.label() + "/" + this.outcome.label() : "answered";
		}

	}

}
