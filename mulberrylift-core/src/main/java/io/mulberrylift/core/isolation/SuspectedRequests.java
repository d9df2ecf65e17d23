package io.mulberrylift.core.isolation;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Suspected and quarantined requests with the endpoint processes lost while running them.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A process counts once for a request. The newest
 * 4,096 requests are kept for an hour after their last loss.
 * </p>
 */
final class SuspectedRequests {

	private static final int MAX_SUSPECTS = 4_096;

	private static final long RETENTION_MILLIS = 3_600_000;

	private static final int LOSSES_TO_QUARANTINE = 2;

	private final Map<Long, LossRecord> byFingerprint = new LinkedHashMap<>();

	/**
	 * Records a loss. If it quarantines a request that ran as the only suspect, that
	 * request is taken as the cause of its losses: other requests that ran on the same
	 * processes are cleared of them.
	 * @param fingerprint the request's fingerprint
	 * @param process the lost process
	 * @param alone whether the request ran there as the only suspect
	 * @param nowMonotonicMillis the current time
	 * @return whether the loss was new
	 */
	boolean add(long fingerprint, EndpointProcess process, boolean alone, long nowMonotonicMillis) {
		LossRecord lossRecord = this.byFingerprint.remove(fingerprint);
		lossRecord = (lossRecord != null) ? lossRecord : new LossRecord();
		this.byFingerprint.put(fingerprint, lossRecord);
		boolean added = lossRecord.lostProcesses.add(process);
		if (added) {
			lossRecord.lastMonotonicMillis = nowMonotonicMillis;
		}
		lossRecord.lostAlone |= alone;
		if (lossRecord.lostAlone && isQuarantined(fingerprint)) {
			clearOthers(fingerprint, lossRecord.lostProcesses);
		}
		removeExpired(nowMonotonicMillis);
		return added;
	}

	private void clearOthers(long causeFingerprint, Set<EndpointProcess> processes) {
		Iterator<Map.Entry<Long, LossRecord>> entries = this.byFingerprint.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<Long, LossRecord> entry = entries.next();
			boolean unrelated = entry.getKey() != causeFingerprint && !entry.getValue().lostAlone;
			if (unrelated && entry.getValue().lostProcesses.removeAll(processes)
					&& entry.getValue().lostProcesses.isEmpty()) {
				entries.remove();
			}
		}
	}

	private void removeExpired(long nowMonotonicMillis) {
		Iterator<LossRecord> oldest = this.byFingerprint.values().iterator();
		while (oldest.hasNext()) {
			boolean old = oldest.next().lastMonotonicMillis < nowMonotonicMillis - RETENTION_MILLIS;
			if (!old && this.byFingerprint.size() <= MAX_SUSPECTS) {
				return;
			}
			oldest.remove();
		}
	}

	int lossCount(long fingerprint) {
		LossRecord lossRecord = this.byFingerprint.get(fingerprint);
		return (lossRecord != null) ? lossRecord.lostProcesses.size() : 0;
	}

	boolean isQuarantined(long fingerprint) {
		return lossCount(fingerprint) >= LOSSES_TO_QUARANTINE;
	}

	/**
	 * Returns the newest losses, to be sent to another instance.
	 * @param limit maximum number of losses to return
	 * @return the fingerprint, the process and whether the request ran as the only
	 * suspect, oldest first
	 */
	List<RequestAttempt> newest(int limit) {
		List<RequestAttempt> all = new ArrayList<>();
		this.byFingerprint.forEach((fingerprint, lossRecord) -> lossRecord.lostProcesses
			.forEach((process) -> all.add(new RequestAttempt(fingerprint, process, lossRecord.lostAlone))));
		return all.subList(Math.max(0, all.size() - limit), all.size());
	}

	int size() {
		return this.byFingerprint.size();
	}

	private static final class LossRecord {

		private final Set<EndpointProcess> lostProcesses = new LinkedHashSet<>();

		private long lastMonotonicMillis;

		private boolean lostAlone;

	}

}
