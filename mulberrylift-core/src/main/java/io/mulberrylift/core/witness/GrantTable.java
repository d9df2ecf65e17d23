package io.mulberrylift.core.witness;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

import io.mulberrylift.core.configuration.IdempotencySettings;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.peer.WitnessMessage.ClaimId;
import io.mulberrylift.core.peer.WitnessMessage.Grant;
import io.mulberrylift.core.peer.WitnessMessage.KeyId;

/**
 * Grants recorded by a witness seat.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Invariants: a key is granted to one claim at a
 * time; a grant is removed only when its claimant releases it or when no clock of the
 * fleet still accepts its key; a released claim is not granted again while its release is
 * recorded; a full table accepts no new key. Only the bodies of answers are dropped for
 * lack of memory, the oldest first.
 * </p>
 */
final class GrantTable {

	private static final int MAX_RELEASES = 50_000;

	private static final long RELEASE_RETENTION_MILLIS = 60_000;

	private final Map<KeyId, Grant> grants = new HashMap<>();

	private final SortedSet<KeyId> byFirstSent = new TreeSet<>(Comparator.comparingLong(KeyId::firstSentEpochMillis)
		.thenComparing(KeyId::workspace)
		.thenComparing(KeyId::value));

	private final Map<ClaimId, Long> releases = new LinkedHashMap<>();

	private final Map<KeyId, Integer> answerSizesBytes = new LinkedHashMap<>();

	private long answerBytes;

	Optional<Grant> find(KeyId key) {
		return Optional.ofNullable(this.grants.get(key));
	}

	boolean isReleased(ClaimId claim) {
		return this.releases.containsKey(claim);
	}

	boolean isFull(IdempotencySettings settings) {
		return this.grants.size() >= settings.maxKeys();
	}

	/**
	 * Grants a key that has no grant yet.
	 * @param key the key
	 * @param fingerprint fingerprint of the request
	 * @param claim the claim that gets it
	 */
	void grant(KeyId key, long fingerprint, ClaimId claim) {
		put(new Grant(key, fingerprint, claim, false, Optional.empty()));
	}

	private void put(Grant grant) {
		if (this.grants.put(grant.key(), grant) == null) {
			this.byFirstSent.add(grant.key());
		}
	}

	/**
	 * Removes a grant unless its result is recorded. The release itself is recorded too,
	 * so that the same claim gets no grant when it arrives after its release.
	 * @param key the key
	 * @param claim the abandoned claim
	 * @param nowMonotonicMillis the current time
	 */
	void release(KeyId key, ClaimId claim, long nowMonotonicMillis) {
		this.releases.put(claim, nowMonotonicMillis);
		Grant grant = this.grants.get(key);
		if (grant != null && !grant.settled() && grant.claim().equals(claim)) {
			this.grants.remove(key);
			this.byFirstSent.remove(key);
		}
	}

	/**
	 * Records the result of a request whose claim had a majority. It replaces a grant of
	 * another claim, which cannot have a majority as well.
	 * @param key the key
	 * @param fingerprint fingerprint of the request
	 * @param claim the claim that ran
	 * @param answer its answer, empty if it is not stored
	 * @param settings limits of the table
	 */
	void recordResult(KeyId key, long fingerprint, ClaimId claim, Optional<StoredAnswer> answer,
			IdempotencySettings settings) {
		Grant known = this.grants.get(key);
		boolean answerKnown = known != null && known.answer().isPresent();
		if (answerKnown || (known == null && isFull(settings))) {
			return;
		}
		put(new Grant(key, fingerprint, claim, true, answer));
		answer.ifPresent((stored) -> storeAnswer(key, stored, settings));
	}

	private void storeAnswer(KeyId key, StoredAnswer answer, IdempotencySettings settings) {
		int sizeBytes = answer.body().length;
		this.answerSizesBytes.put(key, sizeBytes);
		this.answerBytes += sizeBytes;
		while (this.answerBytes > settings.maxStoredAnswerBytes()) {
			KeyId oldest = this.answerSizesBytes.keySet().iterator().next();
			dropAnswer(oldest);
		}
	}

	private void dropAnswer(KeyId key) {
		Integer sizeBytes = this.answerSizesBytes.remove(key);
		if (sizeBytes != null) {
			this.answerBytes -= sizeBytes;
			Grant grant = this.grants.get(key);
			this.grants.put(key, new Grant(key, grant.fingerprint(), grant.claim(), true, Optional.empty()));
		}
	}

	/**
	 * Adds the grants handed over by the previous holder of the seat.
	 * @param received its grants
	 * @param settings limits of the table
	 */
	void merge(Collection<Grant> received, IdempotencySettings settings) {
		for (Grant grant : received) {
			if (grant.settled()) {
				mergeCompleted(grant, settings);
			}
			else if (!this.grants.containsKey(grant.key()) && !isReleased(grant.claim())) {
				put(grant);
			}
		}
	}

	private void mergeCompleted(Grant grant, IdempotencySettings settings) {
		Grant known = this.grants.get(grant.key());
		if (known == null || !known.settled()) {
			put(new Grant(grant.key(), grant.fingerprint(), grant.claim(), true, Optional.empty()));
		}
		recordResult(grant.key(), grant.fingerprint(), grant.claim(), grant.answer(), settings);
	}

	/**
	 * Removes the keys that no instance accepts any more, and old releases.
	 * @param settings limits of the table, window and clock skew
	 * @param nowEpochMillis the current wall-clock time
	 * @param nowMonotonicMillis the current monotonic time
	 */
	void removeExpired(IdempotencySettings settings, long nowEpochMillis, long nowMonotonicMillis) {
		long oldestKept = nowEpochMillis - settings.windowMillis() - 2 * settings.clockSkewMillis();
		while (!this.byFirstSent.isEmpty() && this.byFirstSent.first().firstSentEpochMillis() < oldestKept) {
			KeyId key = this.byFirstSent.first();
			this.byFirstSent.remove(key);
			dropAnswer(key);
			this.grants.remove(key);
		}
		var oldestReleases = this.releases.entrySet().iterator();
		while (oldestReleases.hasNext()) {
			boolean old = oldestReleases.next().getValue() < nowMonotonicMillis - RELEASE_RETENTION_MILLIS;
			if (!old && this.releases.size() <= MAX_RELEASES) {
				return;
			}
			oldestReleases.remove();
		}
	}

	/**
	 * Returns all grants.
	 * @return a copy, ordered by the first send of the key
	 */
	List<Grant> all() {
		return this.byFirstSent.stream().map(this.grants::get).toList();
	}

	int size() {
		return this.grants.size();
	}

	long answerBytes() {
		return this.answerBytes;
	}

}
