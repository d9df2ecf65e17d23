package io.mulberrylift.core.witness;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.WitnessMessage.ClaimId;
import io.mulberrylift.core.peer.WitnessMessage.Decision;
import io.mulberrylift.core.peer.WitnessMessage.Verdict;

/**
 * Collects the verdicts of all seats on one claim.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Each seat counts once. A grant is never
 * replaced, and any other decisive verdict is replaced only by a grant. All verdicts are
 * decisive except {@link Decision#NO_AUTHORITY} and {@link Decision#ABSTAINED}.
 * </p>
 */
final class ClaimRound {

	private final ClaimId claim;

	private final List<ZoneId> seats;

	private final long startedMonotonicMillis;

	private final Map<ZoneId, Verdict> verdicts = new HashMap<>();

	ClaimRound(ClaimId claim, List<ZoneId> seats, long startedMonotonicMillis) {
		this.claim = claim;
		this.seats = List.copyOf(seats);
		this.startedMonotonicMillis = startedMonotonicMillis;
	}

	ClaimId claim() {
		return this.claim;
	}

	List<ZoneId> seats() {
		return this.seats;
	}

	long startedMonotonicMillis() {
		return this.startedMonotonicMillis;
	}

	/**
	 * Records a verdict. Verdicts of seats outside this round are ignored.
	 * @param verdict the verdict on this claim
	 */
	void add(Verdict verdict) {
		Verdict known = this.verdicts.get(verdict.seat());
		boolean replaces = known == null || verdict.verdict() == Decision.GRANTED
				|| (!isDecisive(known.verdict()) && verdict.verdict() != Decision.NO_AUTHORITY);
		if (this.seats.contains(verdict.seat()) && replaces) {
			this.verdicts.put(verdict.seat(), verdict);
		}
	}

	private static boolean isDecisive(Decision decision) {
		return decision != Decision.NO_AUTHORITY && decision != Decision.ABSTAINED;
	}

	/**
	 * Returns the seats to which the claim should be sent again.
	 * @return the seats without a decisive verdict
	 */
	List<ZoneId> undecidedSeats() {
		return this.seats.stream().filter((seat) -> !isDecided(seat)).toList();
	}

	private boolean isDecided(ZoneId seat) {
		Verdict verdict = this.verdicts.get(seat);
		return verdict != null && isDecisive(verdict.verdict());
	}

	/**
	 * Returns the seats that may have recorded a grant for this claim.
	 * @return the seats that granted the claim or have not decided
	 */
	List<ZoneId> seatsToRelease() {
		return this.seats.stream()
			.filter((seat) -> !isDecided(seat) || this.verdicts.get(seat).verdict() == Decision.GRANTED)
			.toList();
	}

	long count(Decision decision) {
		return this.verdicts.values().stream().filter((verdict) -> verdict.verdict() == decision).count();
	}

	boolean hasMajority(Decision decision) {
		return count(decision) >= majority();
	}

	int majority() {
		return this.seats.size() / 2 + 1;
	}

	/**
	 * Returns whether a majority can still be granted in this round.
	 * @return false if too many seats have decided otherwise
	 */
	boolean canReachMajority() {
		return count(Decision.GRANTED) + undecidedSeats().size() >= majority();
	}

	/**
	 * Returns whether so many seats abstained that a majority is out of reach, because
	 * the key was first sent before their grant history begins.
	 * @return true if the seats that did not abstain are fewer than a majority
	 */
	boolean isBeforeGrantHistory() {
		return this.seats.size() - count(Decision.ABSTAINED) < majority();
	}

	Optional<StoredAnswer> answer() {
		return this.verdicts.values().stream().flatMap((verdict) -> verdict.answer().stream()).findFirst();
	}

	/**
	 * Returns the other claims that hold the key and have not ended.
	 * @return the distinct claims, in no particular order
	 */
	List<ClaimId> runningHolders() {
		return this.verdicts.values()
			.stream()
			.filter((verdict) -> verdict.verdict() == Decision.RUNNING)
			.flatMap((verdict) -> verdict.holder().stream())
			.distinct()
			.toList();
	}

}
