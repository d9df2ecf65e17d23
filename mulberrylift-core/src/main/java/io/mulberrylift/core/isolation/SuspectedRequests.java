package io.mulberrylift.core.isolation;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints lost to each request.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. A process of an endpoint
 * counts once for a request. The newest 4,096 suspected requests are remembered for an
 * hour after their last loss.
 * </p>
 */
final class SuspectedRequests {

	private static final int MAX_SUSPECTS = 4_096;

	private static final long RETENTION_MILLIS = 3_600_000;

	private static final int LOSSES_TO_QUARANTINE = 2;

	private final Map<Long, Suspicion> byFingerprint = new LinkedHashMap<>();

	/**
	 * Records a loss. When it convicts a request that ran alone, the others that ran
	 * where it ran before are cleared of those losses.
	 * @param fingerprint the request's fingerprint
	 * @param loss the lost process
	 * @param alone whether the request ran there as the only suspect
	 * @param nowMonotonicMillis the current time
	 * @return whether the loss was not known
	 */
	boolean add(long fingerprint, EndpointProcess loss, boolean alone, long nowMonotonicMillis) {
		Suspicion suspicion = this.byFingerprint.remove(fingerprint);
		suspicion = (suspicion != null) ? suspicion : new Suspicion();
		this.byFingerprint.put(fingerprint, suspicion);
		boolean added = suspicion.losses.add(loss);
		if (added) {
			suspicion.lastMonotonicMillis = nowMonotonicMillis;
		}
		suspicion.lostAlone |= alone;
		if (suspicion.lostAlone && isQuarantined(fingerprint)) {
			clearOthers(fingerprint, suspicion.losses);
		}
		removeExpired(nowMonotonicMillis);
		return added;
	}

	private void clearOthers(long culprit, Set<EndpointProcess> losses) {
		Iterator<Map.Entry<Long, Suspicion>> entries = this.byFingerprint.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<Long, Suspicion> entry = entries.next();
			boolean innocent = entry.getKey() != culprit && !entry.getValue().lostAlone;
			if (innocent && entry.getValue().losses.removeAll(losses) && entry.getValue().losses.isEmpty()) {
				entries.remove();
			}
		}
	}

	private void removeExpired(long nowMonotonicMillis) {
		Iterator<Suspicion> oldest = this.byFingerprint.values().iterator();
		while (oldest.hasNext()) {
			boolean old = oldest.next().lastMonotonicMillis < nowMonotonicMillis - RETENTION_MILLIS;
			if (!old && this.byFingerprint.size() <= MAX_SUSPECTS) {
				return;
			}
			oldest.remove();
		}
	}

	int lossCount(long fingerprint) {
		Suspicion suspicion = this.byFingerprint.get(fingerprint);
		return (suspicion != null) ? suspicion.losses.size() : 0;
	}

	boolean isQuarantined(long fingerprint) {
		return lossCount(fingerprint) >= LOSSES_TO_QUARANTINE;
	}

	/**
	 * Returns the newest losses for another instance.
	 * @param limit most losses to return
	 * @return fingerprint, process and whether the request was lost alone
	 */
	List<RequestAttempt> newest(int limit) {
		List<RequestAttempt> all = new ArrayList<>();
		this.byFingerprint.forEach((fingerprint, suspicion) -> suspicion.losses
			.forEach((loss) -> all.add(new RequestAttempt(fingerprint, loss, suspicion.lostAlone))));
		return all.subList(Math.max(0, all.size() - limit), all.size());
	}

	int size() {
		return this.byFingerprint.size();
	}

	private static final class Suspicion {

		private final Set<EndpointProcess> losses = new LinkedHashSet<>();

		private long lastMonotonicMillis;

		private boolean lostAlone;

	}

}
