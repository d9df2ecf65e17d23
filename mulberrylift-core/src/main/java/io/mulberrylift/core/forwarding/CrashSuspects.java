package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.mulberrylift.core.gossip.CrashObservation;

/**
 * Requests suspected of crashing endpoints, as observed by all instances.
 *
 * <p>
 * The loss of an endpoint counts against each request that was running on it. An endpoint
 * that starts again under its identity can be lost again. A complete answer to the
 * request clears it of all earlier losses. A request is isolated from
 * {@value #ISOLATION_THRESHOLD} losses on. Observations are published promptly several
 * times, since messages may be lost; those of requests with {@value #RELAY_THRESHOLD}
 * losses or more are published in turn as long as they are kept, so that instances which
 * start or were disconnected learn them. Times of peers' observations are those of the
 * observations, not of the reports. An isolated request that this instance received an
 * answer to before is tried again after growing delays, since another request may be the
 * cause of its losses and nothing else could clear it. Not thread-safe.
 * </p>
 */
final class CrashSuspects {

	/** Number of losses from which a request is isolated. */
	static final int ISOLATION_THRESHOLD = 3;

	/** Time for which a request is kept after its last loss or answer. */
	private static final long RETENTION_MILLIS = 600_000;

	private static final int MAX_FINGERPRINTS = 4096;

	/**
	 * Losses of the same endpoint that are reported with a smaller difference in time are
	 * the same one; a process takes longer to start again.
	 */
	private static final long SAME_LOSS_MILLIS = 1000;

	/** Time from the isolation of a request that was answered before to its next try. */
	private static final long INITIAL_TRIAL_DELAY_MILLIS = 500;

	private static final long MAX_TRIAL_DELAY_MILLIS = 30_000;

	/** Number of prompt publications of an own observation. */
	private static final int OWN_PUBLICATIONS = 3;

	/** Interval between the prompt publications of an observation. */
	private static final long PUBLICATION_INTERVAL_MILLIS = 300;

	/** Number of losses from which observations of peers are published as well. */
	private static final int RELAY_THRESHOLD = 2;

	/** Interval at which expired requests are removed, which takes time for each. */
	private static final long EXPIRY_INTERVAL_MILLIS = 1000;

	/** Time after an observation in which it is published promptly at the latest. */
	private static final long PROMPT_MILLIS = 5000;

	private long nextExpiryMillis = Long.MIN_VALUE;

	/** Until when there may be observations to publish promptly. */
	private long promptUntilMillis = Long.MIN_VALUE;

	/** By fingerprint, the least recently changed first. */
	private final Map<Long, Suspect> suspects = new LinkedHashMap<>();

	/**
	 * Requests that this instance received a complete answer to, the least recent first.
	 */
	private final Set<Long> answered = new LinkedHashSet<>();

	/**
	 * Records that an endpoint was lost during an attempt of this instance.
	 * @param fingerprint fingerprint of the request
	 * @param endpointHash hash of the endpoint's identity
	 * @param sentMillis when the attempt was sent; a known loss after it is the same one
	 * @param nowMillis the current time
	 */
	void recordLoss(long fingerprint, int endpointHash, long sentMillis, long nowMillis) {
		Suspect suspect = this.suspects.get(fingerprint);
		boolean known = suspect != null && suspect.losses.stream()
			.anyMatch((loss) -> loss.endpointHash == endpointHash && loss.millis >= sentMillis);
		if (!known) {
			addLoss(fingerprint, new Loss(endpointHash, nowMillis), OWN_PUBLICATIONS, nowMillis);
		}
	}

	/**
	 * Records that this instance received a complete answer to a request.
	 * @param fingerprint fingerprint of the request
	 * @param nowMillis the current time
	 * @return the number of losses of which the request is cleared
	 */
	int recordAnswer(long fingerprint, long nowMillis) {
		this.answered.remove(fingerprint);
		this.answered.add(fingerprint);
		if (this.answered.size() > MAX_FINGERPRINTS) {
			this.answered.remove(this.answered.iterator().next());
		}
		return clear(fingerprint, nowMillis, OWN_PUBLICATIONS, nowMillis);
	}

	/**
	 * Records an observation of a peer.
	 * @param observation the observation
	 * @param relay whether to publish the losses of the request promptly if there are
	 * several, for peers that do not receive the messages of all instances
	 * @param nowMillis the current time
	 * @return whether it changed the losses of its request
	 */
	boolean recordReported(CrashObservation observation, boolean relay, long nowMillis) {
		long fingerprint = observation.fingerprint();
		long millis = nowMillis - observation.ageMillis();
		if (observation.lostEndpointHash().isEmpty()) {
			boolean relayed = relay && lossCount(fingerprint) >= RELAY_THRESHOLD;
			return clear(fingerprint, millis, (relayed) ? 1 : 0, nowMillis) > 0;
		}
		boolean added = addLoss(fingerprint, new Loss(observation.lostEndpointHash().get(), millis), 0, nowMillis);
		if (added && relay && lossCount(fingerprint) >= RELAY_THRESHOLD) {
			this.suspects.get(fingerprint).losses.forEach((loss) -> requestPublication(loss.publication, 1, nowMillis));
		}
		return added;
	}

	private int clear(long fingerprint, long answeredMillis, int publications, long nowMillis) {
		Suspect suspect = this.suspects.get(fingerprint);
		if (suspect == null || answeredMillis <= suspect.answeredMillis) {
			return 0;
		}
		int before = suspect.losses.size();
		suspect.losses.removeIf((loss) -> loss.millis <= answeredMillis);
		suspect.answeredMillis = answeredMillis;
		int cleared = before - suspect.losses.size();
		if (cleared > 0) {
			suspect.trialDelayMillis = INITIAL_TRIAL_DELAY_MILLIS;
			requestPublication(suspect.answerPublication, publications, nowMillis);
		}
		return cleared;
	}

	private boolean addLoss(long fingerprint, Loss loss, int publications, long nowMillis) {
		Suspect suspect = this.suspects.getOrDefault(fingerprint, new Suspect());
		boolean known = loss.millis <= suspect.answeredMillis
				|| suspect.losses.stream().anyMatch((each) -> each.isSameAs(loss));
		if (known || suspect.losses.size() >= ISOLATION_THRESHOLD) {
			return false;
		}
		requestPublication(loss.publication, publications, nowMillis);
		suspect.losses.add(loss);
		suspect.trialMillis = nowMillis + suspect.trialDelayMillis;
		this.suspects.remove(fingerprint);
		this.suspects.put(fingerprint, suspect);
		if (this.suspects.size() > MAX_FINGERPRINTS) {
			this.suspects.remove(this.suspects.keySet().iterator().next());
		}
		return true;
	}

	private void requestPublication(Publication publication, int count, long nowMillis) {
		if (count > 0) {
			publication.request(count, nowMillis);
			this.promptUntilMillis = nowMillis + PROMPT_MILLIS;
		}
	}

	/**
	 * Returns whether a request may be sent to an endpoint. If it is an isolated one that
	 * was answered before, the next try is delayed.
	 * @param fingerprint fingerprint of the request
	 * @param nowMillis the current time
	 * @return false if the request is isolated and must not be tried now
	 */
	boolean mayStart(long fingerprint, long nowMillis) {
		if (!isIsolated(fingerprint)) {
			return true;
		}
		Suspect suspect = this.suspects.get(fingerprint);
		if (!this.answered.contains(fingerprint) || nowMillis < suspect.trialMillis) {
			return false;
		}
		suspect.trialDelayMillis = Math.min(2 * suspect.trialDelayMillis, MAX_TRIAL_DELAY_MILLIS);
		suspect.trialMillis = nowMillis + suspect.trialDelayMillis;
		return true;
	}

	boolean isIsolated(long fingerprint) {
		return lossCount(fingerprint) >= ISOLATION_THRESHOLD;
	}

	/**
	 * Returns the number of losses that count against a request.
	 * @param fingerprint fingerprint of the request
	 * @return the number, at most {@value #ISOLATION_THRESHOLD}
	 */
	int lossCount(long fingerprint) {
		Suspect suspect = this.suspects.get(fingerprint);
		return (suspect != null) ? suspect.losses.size() : 0;
	}

	/**
	 * Returns the number of requests with a number of losses.
	 * @param minLosses minimum number of losses
	 * @return the number of requests
	 */
	long count(int minLosses) {
		return this.suspects.values().stream().filter((suspect) -> suspect.losses.size() >= minLosses).count();
	}

	void tick(long nowMillis) {
		if (nowMillis < this.nextExpiryMillis) {
			return;
		}
		this.nextExpiryMillis = nowMillis + EXPIRY_INTERVAL_MILLIS;
		this.suspects.values().removeIf((suspect) -> nowMillis - suspect.newestMillis() > RETENTION_MILLIS);
	}

	/**
	 * Returns whether there are observations to publish promptly.
	 * @param nowMillis the current time
	 * @return true if a prompt publication is due
	 */
	boolean hasPromptObservations(long nowMillis) {
		return nowMillis <= this.promptUntilMillis
				&& this.suspects.values().stream().anyMatch((suspect) -> suspect.isPromptPublicationDue(nowMillis));
	}

	/**
	 * Returns the observations to publish next: those to be published promptly, of the
	 * requests with most losses first, and then the least recently published ones of
	 * requests with at least {@value #RELAY_THRESHOLD} losses.
	 * @param maxCount maximum number of observations
	 * @param nowMillis the current time
	 * @return the observations
	 */
	List<CrashObservation> pollPublished(int maxCount, long nowMillis) {
		List<Publishable> candidates = new ArrayList<>();
		this.suspects.forEach((fingerprint, suspect) -> suspect.addPublishable(fingerprint, candidates, nowMillis));
		candidates.sort(Comparator.comparingInt((Publishable each) -> -each.promptLosses(nowMillis))
			.thenComparingLong((each) -> each.publication().lastMillis));
		return candidates.stream().limit(maxCount).map((each) -> each.publish(nowMillis)).toList();
	}

	/** When an observation was and will be published. */
	private static final class Publication {

		private int promptLeft;

		private long promptMillis;

		private long lastMillis = Long.MIN_VALUE / 2;

		void request(int count, long nowMillis) {
			this.promptLeft = Math.max(this.promptLeft, count);
			this.promptMillis = nowMillis;
		}

		boolean isPromptDue(long nowMillis) {
			return this.promptLeft > 0 && nowMillis >= this.promptMillis;
		}

		void published(long nowMillis) {
			this.promptLeft = Math.max(0, this.promptLeft - 1);
			this.promptMillis = nowMillis + PUBLICATION_INTERVAL_MILLIS;
			this.lastMillis = nowMillis;
		}

	}

	private record Publishable(long fingerprint, Optional<Integer> lostEndpointHash, long millis, int losses,
			Publication publication) {

		int promptLosses(long nowMillis) {
			return (this.publication.isPromptDue(nowMillis)) ? this.losses : 0;
		}

		CrashObservation publish(long nowMillis) {
			this.publication.published(nowMillis);
			return new CrashObservation(this.fingerprint, this.lostEndpointHash, Math.max(0, nowMillis - this.millis));
		}

	}

	private static final class Loss {

		private final int endpointHash;

		private final long millis;

		private final Publication publication = new Publication();

		Loss(int endpointHash, long millis) {
			this.endpointHash = endpointHash;
			this.millis = millis;
		}

		boolean isSameAs(Loss other) {
			return this.endpointHash == other.endpointHash && Math.abs(this.millis - other.millis) < SAME_LOSS_MILLIS;
		}

	}

	private static final class Suspect {

		/** At most {@value #ISOLATION_THRESHOLD}. */
		private final List<Loss> losses = new ArrayList<>();

		private long trialDelayMillis = INITIAL_TRIAL_DELAY_MILLIS;

		/** When the request may be tried again if it is isolated. */
		private long trialMillis;

		private final Publication answerPublication = new Publication();

		/** When the request was last answered completely, as far as is known. */
		private long answeredMillis = Long.MIN_VALUE / 2;

		/**
		 * Returns the time of the newest observation. The time at which a peer reported
		 * it does not count; reports would renew each other for ever.
		 * @return the time
		 */
		long newestMillis() {
			return this.losses.stream().mapToLong((loss) -> loss.millis).reduce(this.answeredMillis, Math::max);
		}

		boolean isPromptPublicationDue(long nowMillis) {
			return this.answerPublication.isPromptDue(nowMillis)
					|| this.losses.stream().anyMatch((loss) -> loss.publication.isPromptDue(nowMillis));
		}

		void addPublishable(long fingerprint, List<Publishable> target, long nowMillis) {
			if (this.answerPublication.isPromptDue(nowMillis)) {
				target.add(new Publishable(fingerprint, Optional.empty(), this.answeredMillis, ISOLATION_THRESHOLD,
						this.answerPublication));
			}
			for (Loss loss : this.losses) {
				if (loss.publication.isPromptDue(nowMillis) || this.losses.size() >= RELAY_THRESHOLD) {
					target.add(new Publishable(fingerprint, Optional.of(loss.endpointHash), loss.millis,
							this.losses.size(), loss.publication));
				}
			}
		}

	}

}
