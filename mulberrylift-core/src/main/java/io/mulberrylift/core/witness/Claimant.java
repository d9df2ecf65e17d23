package io.mulberrylift.core.witness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.PromiseSettings;
import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.IdempotencyKey;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.WitnessMessage.Claim;
import io.mulberrylift.core.peer.WitnessMessage.ClaimId;
import io.mulberrylift.core.peer.WitnessMessage.Decision;
import io.mulberrylift.core.peer.WitnessMessage.KeyId;
import io.mulberrylift.core.peer.WitnessMessage.Settled;
import io.mulberrylift.core.peer.WitnessMessage.Verdict;

/**
 * Claims keys for this instance's requests at the seats of all configured zones.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. Invariants: a claim is won
 * by grants of a majority of all configured seats within one round; a claim that is given
 * up is never counted again, and a new round has a new claim; each request gets one
 * outcome.
 * </p>
 */
final class Claimant {

	private static final long ROUND_MILLIS = 500;

	private static final long RETRANSMIT_MILLIS = 100;

	private static final long MAX_UNPROVED_MILLIS = 3_000;

	private static final long BEYOND_MEMORY_PATIENCE_MILLIS = 1_500;

	private static final long LAST_ROUND_MARGIN_MILLIS = 150;

	private static final long MIN_BACKOFF_MILLIS = 10;

	private static final long MAX_BACKOFF_MILLIS = 400;

	private static final long TICK_MILLIS = 10;

	private static final int MAX_DOUBLINGS = 5;

	private static final long DISPATCH_MARGIN_MILLIS = 3_000;

	private final WitnessContext context;

	private final SeatSender sender;

	private final RandomGenerator random;

	private final Map<Long, PendingClaim> pending = new LinkedHashMap<>();

	private final Map<Long, WonClaim> won = new HashMap<>();

	private final Map<ClaimId, PendingClaim> byClaim = new HashMap<>();

	private final EndedClaims ended;

	private final List<ClaimOutcome> outcomes = new ArrayList<>();

	private long nextSequence = 1;

	private long nextTickMonotonicMillis = Long.MIN_VALUE;

	Claimant(WitnessContext context, SeatSender sender, RandomGenerator random) {
		this.context = context;
		this.sender = sender;
		this.random = random;
		this.ended = new EndedClaims(sender);
	}

	void claim(RequestSpec spec, long deadlineMonotonicMillis, Effects effects) {
		IdempotencyKey key = spec.key().orElseThrow();
		KeyId keyId = new KeyId(spec.workspace().value(), key.value(), key.firstSentEpochMillis());
		PendingClaim claim = new PendingClaim(spec, keyId, deadlineMonotonicMillis);
		this.pending.put(spec.requestId(), claim);
		claim.firstUnprovedMonotonicMillis = now();
		startRound(claim, effects);
	}

	private void startRound(PendingClaim claim, Effects effects) {
		if (!isInWindow(claim.key, 0)) {
			deny(claim, ClaimRefusals.outOfWindow(this.context.settings().windowMillis()), effects);
			return;
		}
		List<ZoneId> seats = this.context.fleet()
			.configuration()
			.map(FleetConfiguration::witnessZones)
			.orElse(List.of());
		claim.rounds++;
		claim.round = new ClaimRound(nextClaim(), seats, now());
		this.byClaim.put(claim.round.claim(), claim);
		claim.nextSendMonotonicMillis = now() + RETRANSMIT_MILLIS;
		ask(claim, seats, false, effects);
		judge(claim, effects);
	}

	private ClaimId nextClaim() {
		return new ClaimId(this.context.fleet().self().id(), this.context.fleet().self().incarnation(),
				this.nextSequence++);
	}

	private void ask(PendingClaim claim, List<ZoneId> seats, boolean widely, Effects effects) {
		ClaimRound round = claim.round;
		for (ZoneId seat : seats) {
			if (claim.round != round) {
				return;
			}
			Claim message = new Claim(seat, SeatTable.electorate(round.seats()), claim.key, claim.spec.fingerprint(),
					round.claim());
			this.sender.send(seat, message, widely, effects);
		}
	}

	/**
	 * Takes a verdict. Reminders of claims that have ended are answered by repeating how
	 * they ended.
	 * @param verdict the verdict
	 * @param effects takes the messages
	 */
	void verdict(Verdict verdict, Effects effects) {
		PendingClaim claim = this.byClaim.get(verdict.claim());
		if (claim != null) {
			claim.round.add(verdict);
			judge(claim, effects);
		}
		else if (verdict.verdict() == Decision.GRANTED) {
			this.ended.repeat(verdict, effects);
		}
	}

	private void judge(PendingClaim claim, Effects effects) {
		ClaimRound round = claim.round;
		if (round == null || !this.pending.containsKey(claim.spec.requestId())) {
			return;
		}
		if (round.hasMajority(Decision.GRANTED)) {
			win(claim, effects);
		}
		else if (round.answer().isPresent()) {
			StoredAnswer answer = round.answer().get();
			end(claim, effects);
			this.outcomes.add(new ClaimOutcome.Answered(claim.spec.requestId(), answer));
		}
		else if (round.openSeats().isEmpty()) {
			conclude(claim, effects);
		}
	}

	private void win(PendingClaim claim, Effects effects) {
		this.pending.remove(claim.spec.requestId());
		this.byClaim.remove(claim.round.claim());
		this.won.put(claim.spec.requestId(),
				new WonClaim(claim.round.claim(), claim.key, claim.spec.fingerprint(), claim.round.seats()));
		effects.count(Part.WITNESS, "claim.granted");
		this.outcomes.add(new ClaimOutcome.Granted(claim.spec.requestId()));
	}

	private void conclude(PendingClaim claim, Effects effects) {
		ClaimRound round = claim.round;
		if (round.count(Decision.SETTLED) > 0) {
			deny(claim, ClaimRefusals.answerLost(), effects);
		}
		else if (round.count(Decision.FINGERPRINT_DIFFERS) > 0 && !round.canStillWin()) {
			deny(claim, ClaimRefusals.reused(round), effects);
		}
		else if (round.count(Decision.OUT_OF_WINDOW) > 0 && !round.canStillWin()) {
			deny(claim, ClaimRefusals.outOfWindow(this.context.settings().windowMillis()), effects);
		}
		else if (round.count(Decision.RUNNING) > 0) {
			concludeRunning(claim, effects);
		}
		else if (round.isBeyondMemory() && unprovedMillis(claim) >= BEYOND_MEMORY_PATIENCE_MILLIS) {
			deny(claim, ClaimRefusals.beyondMemory(), effects);
		}
		else {
			concludeUnproved(claim, effects);
		}
	}

	private void concludeRunning(PendingClaim claim, Effects effects) {
		boolean allGone = claim.round.runningHolders()
			.stream()
			.allMatch((holder) -> this.context.peers().isGone(holder.claimant(), holder.incarnation()));
		if (allGone) {
			deny(claim, ClaimRefusals.answerLost(), effects);
			return;
		}
		claim.firstUnprovedMonotonicMillis = now();
		retry(claim, ClaimRefusals.inProgress(), effects);
	}

	private void concludeUnproved(PendingClaim claim, Effects effects) {
		Refusal refusal = ClaimRefusals.unproved(claim.round);
		if (unprovedMillis(claim) >= MAX_UNPROVED_MILLIS || isHopeless(claim.round)) {
			deny(claim, refusal, effects);
			return;
		}
		retry(claim, refusal, effects);
	}

	private boolean isHopeless(ClaimRound round) {
		long reachable = round.openSeats().stream().filter((seat) -> !this.sender.isSuspect(seat)).count();
		return round.count(Decision.GRANTED) + reachable < round.majority();
	}

	private long unprovedMillis(PendingClaim claim) {
		return now() - claim.firstUnprovedMonotonicMillis;
	}

	private void retry(PendingClaim claim, Refusal refusal, Effects effects) {
		long ceilingMillis = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(claim.rounds, MAX_DOUBLINGS));
		long nextMonotonicMillis = now() + MIN_BACKOFF_MILLIS + this.random.nextLong(ceilingMillis);
		if (nextMonotonicMillis + LAST_ROUND_MARGIN_MILLIS >= claim.deadlineMonotonicMillis) {
			deny(claim, refusal, effects);
			return;
		}
		giveUp(claim.round, claim.key, effects);
		claim.round = null;
		claim.lastRefusal = refusal;
		claim.nextRoundMonotonicMillis = nextMonotonicMillis;
	}

	private void deny(PendingClaim claim, Refusal refusal, Effects effects) {
		end(claim, effects);
		effects.count(Part.WITNESS, "claim.denied." + refusal.reason().label());
		this.outcomes.add(new ClaimOutcome.Denied(claim.spec.requestId(), refusal));
	}

	private void end(PendingClaim claim, Effects effects) {
		this.pending.remove(claim.spec.requestId());
		if (claim.round != null) {
			giveUp(claim.round, claim.key, effects);
			claim.round = null;
		}
	}

	private void giveUp(ClaimRound round, KeyId key, Effects effects) {
		this.byClaim.remove(round.claim());
		this.ended.abandon(round.claim(), key, round.seatsToRelease(), effects);
	}

	void release(long requestId, Effects effects) {
		PendingClaim claim = this.pending.get(requestId);
		if (claim != null) {
			end(claim, effects);
		}
		WonClaim granted = this.won.remove(requestId);
		if (granted != null) {
			this.ended.abandon(granted.claim(), granted.key(), granted.seats(), effects);
		}
	}

	void settle(long requestId, Optional<StoredAnswer> answer, Effects effects) {
		WonClaim granted = this.won.remove(requestId);
		if (granted != null) {
			for (ZoneId seat : granted.seats()) {
				this.ended.settle(new Settled(seat, granted.key(), granted.fingerprint(), granted.claim(), answer),
						effects);
			}
		}
	}

	/**
	 * Returns whether a granted request may be sent to an endpoint now.
	 * @param requestId the request
	 * @return false when the claim is not held or its key's window is about to end
	 */
	boolean mayDispatch(long requestId) {
		WonClaim granted = this.won.get(requestId);
		return granted != null && isInWindow(granted.key(), DISPATCH_MARGIN_MILLIS);
	}

	private boolean isInWindow(KeyId key, long marginMillis) {
		PromiseSettings settings = this.context.settings();
		long ageMillis = this.context.now().epochMillis() - key.firstSentEpochMillis();
		return ageMillis >= -settings.clockSkewMillis()
				&& ageMillis + marginMillis + 2 * settings.clockSkewMillis() < settings.windowMillis();
	}

	/**
	 * Gives up the rounds under way, because their time was not observed.
	 * @param effects takes the messages
	 */
	void paused(Effects effects) {
		for (PendingClaim claim : List.copyOf(this.pending.values())) {
			if (claim.round != null) {
				giveUp(claim.round, claim.key, effects);
				claim.round = null;
				claim.nextRoundMonotonicMillis = now();
			}
		}
	}

	void tick(Effects effects) {
		if (now() < this.nextTickMonotonicMillis) {
			return;
		}
		this.nextTickMonotonicMillis = now() + TICK_MILLIS;
		for (PendingClaim claim : List.copyOf(this.pending.values())) {
			if (claim.round != null) {
				continueRound(claim, effects);
			}
			else if (isLastChance(claim)) {
				deny(claim, claim.lastRefusal, effects);
			}
			else if (now() >= claim.nextRoundMonotonicMillis) {
				startRound(claim, effects);
			}
		}
	}

	private boolean isLastChance(PendingClaim claim) {
		return claim.lastRefusal != null && now() + LAST_ROUND_MARGIN_MILLIS >= claim.deadlineMonotonicMillis;
	}

	/**
	 * Returns when {@link #tick(Effects)} is due next.
	 * @return the monotonic time in milliseconds, {@link Long#MAX_VALUE} for never
	 */
	long nextWakeMonotonicMillis() {
		return this.pending.isEmpty() ? Long.MAX_VALUE : this.nextTickMonotonicMillis;
	}

	private void continueRound(PendingClaim claim, Effects effects) {
		boolean over = now() - claim.round.startedMonotonicMillis() >= ROUND_MILLIS;
		if (over || isLastChance(claim)) {
			conclude(claim, effects);
		}
		else if (now() >= claim.nextSendMonotonicMillis) {
			claim.nextSendMonotonicMillis = now() + RETRANSMIT_MILLIS;
			ask(claim, claim.round.openSeats(), true, effects);
			judge(claim, effects);
		}
	}

	private long now() {
		return this.context.now().monotonicMillis();
	}

	List<ClaimOutcome> takeOutcomes() {
		List<ClaimOutcome> taken = List.copyOf(this.outcomes);
		this.outcomes.clear();
		return taken;
	}

	int pendingClaims() {
		return this.pending.size();
	}

	int wonClaims() {
		return this.won.size();
	}

	private record WonClaim(ClaimId claim, KeyId key, long fingerprint, List<ZoneId> seats) {
	}

}
