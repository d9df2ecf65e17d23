package io.mulberrylift.core.witness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.IdempotencySettings;
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
 * Claims keys for this instance's requests at the witness seats of all configured zones.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Invariants: a claim is granted by a majority of
 * all configured seats within one round; an abandoned claim is never counted again, and a
 * new round uses a new claim; each request gets one outcome.
 * </p>
 */
final class ClaimCoordinator {

	private static final long ROUND_TIMEOUT_MILLIS = 500;

	private static final long RETRANSMIT_INTERVAL_MILLIS = 100;

	private static final long MAX_WITHOUT_MAJORITY_MILLIS = 3_000;

	private static final long GRANT_HISTORY_TIMEOUT_MILLIS = 1_500;

	private static final long LAST_ROUND_MARGIN_MILLIS = 150;

	private static final long MIN_BACKOFF_MILLIS = 10;

	private static final long MAX_BACKOFF_MILLIS = 400;

	private static final long TICK_INTERVAL_MILLIS = 10;

	private static final int MAX_BACKOFF_DOUBLINGS = 5;

	private static final long DISPATCH_MARGIN_MILLIS = 3_000;

	private final WitnessContext context;

	private final SeatSender sender;

	private final RandomGenerator random;

	private final Map<Long, PendingClaim> pending = new LinkedHashMap<>();

	private final Map<Long, GrantedClaim> granted = new HashMap<>();

	private final Map<ClaimId, PendingClaim> byClaim = new HashMap<>();

	private final EndedClaims ended;

	private final List<ClaimOutcome> outcomes = new ArrayList<>();

	private long nextSequence = 1;

	private long nextTickMonotonicMillis = Long.MIN_VALUE;

	ClaimCoordinator(WitnessContext context, SeatSender sender, RandomGenerator random) {
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
		claim.withoutMajoritySinceMonotonicMillis = now();
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
		claim.nextSendMonotonicMillis = now() + RETRANSMIT_INTERVAL_MILLIS;
		sendClaims(claim, seats, false, effects);
		evaluate(claim, effects);
	}

	private ClaimId nextClaim() {
		return new ClaimId(this.context.fleet().self().id(), this.context.fleet().self().incarnation(),
				this.nextSequence++);
	}

	private void sendClaims(PendingClaim claim, List<ZoneId> seats, boolean toBackups, Effects effects) {
		ClaimRound round = claim.round;
		for (ZoneId seat : seats) {
			if (claim.round != round) {
				return;
			}
			Claim message = new Claim(seat, SeatTable.electorate(round.seats()), claim.key, claim.spec.fingerprint(),
					round.claim());
			this.sender.send(seat, message, toBackups, effects);
		}
	}

	/**
	 * Handles a verdict. A grant for a claim that has ended is answered by sending its
	 * release or result again.
	 * @param verdict the verdict
	 * @param effects receives the messages to send
	 */
	void verdict(Verdict verdict, Effects effects) {
		PendingClaim claim = this.byClaim.get(verdict.claim());
		if (claim != null) {
			claim.round.add(verdict);
			evaluate(claim, effects);
		}
		else if (verdict.verdict() == Decision.GRANTED) {
			this.ended.resend(verdict, effects);
		}
	}

	private void evaluate(PendingClaim claim, Effects effects) {
		ClaimRound round = claim.round;
		if (round == null || !this.pending.containsKey(claim.spec.requestId())) {
			return;
		}
		if (round.hasMajority(Decision.GRANTED)) {
			recordGranted(claim, effects);
		}
		else if (round.answer().isPresent()) {
			StoredAnswer answer = round.answer().get();
			end(claim, effects);
			this.outcomes.add(new ClaimOutcome.Answered(claim.spec.requestId(), answer));
		}
		else if (round.undecidedSeats().isEmpty()) {
			concludeRound(claim, effects);
		}
	}

	private void recordGranted(PendingClaim claim, Effects effects) {
		this.pending.remove(claim.spec.requestId());
		this.byClaim.remove(claim.round.claim());
		this.granted.put(claim.spec.requestId(),
				new GrantedClaim(claim.round.claim(), claim.key, claim.spec.fingerprint(), claim.round.seats()));
		effects.count(Part.WITNESS, "claim.granted");
		this.outcomes.add(new ClaimOutcome.Granted(claim.spec.requestId()));
	}

	private void concludeRound(PendingClaim claim, Effects effects) {
		ClaimRound round = claim.round;
		if (round.count(Decision.SETTLED) > 0) {
			deny(claim, ClaimRefusals.answerLost(), effects);
		}
		else if (round.count(Decision.FINGERPRINT_DIFFERS) > 0 && !round.canReachMajority()) {
			deny(claim, ClaimRefusals.reused(round), effects);
		}
		else if (round.count(Decision.OUT_OF_WINDOW) > 0 && !round.canReachMajority()) {
			deny(claim, ClaimRefusals.outOfWindow(this.context.settings().windowMillis()), effects);
		}
		else if (round.count(Decision.RUNNING) > 0) {
			concludeRunning(claim, effects);
		}
		else if (round.isBeforeGrantHistory() && withoutMajorityMillis(claim) >= GRANT_HISTORY_TIMEOUT_MILLIS) {
			deny(claim, ClaimRefusals.beforeGrantHistory(), effects);
		}
		else {
			concludeWithoutMajority(claim, effects);
		}
	}

	private void concludeRunning(PendingClaim claim, Effects effects) {
		boolean allHoldersLost = claim.round.runningHolders()
			.stream()
			.allMatch((holder) -> this.context.peers().isProcessLost(holder.claimant(), holder.incarnation()));
		if (allHoldersLost) {
			deny(claim, ClaimRefusals.answerLost(), effects);
			return;
		}
		claim.withoutMajoritySinceMonotonicMillis = now();
		retry(claim, ClaimRefusals.inProgress(), effects);
	}

	private void concludeWithoutMajority(PendingClaim claim, Effects effects) {
		Refusal refusal = ClaimRefusals.noMajority(claim.round);
		if (withoutMajorityMillis(claim) >= MAX_WITHOUT_MAJORITY_MILLIS || cannotReachMajority(claim.round)) {
			deny(claim, refusal, effects);
			return;
		}
		retry(claim, refusal, effects);
	}

	private boolean cannotReachMajority(ClaimRound round) {
		long reachable = round.undecidedSeats().stream().filter((seat) -> !this.sender.isUnreachable(seat)).count();
		return round.count(Decision.GRANTED) + reachable < round.majority();
	}

	private long withoutMajorityMillis(PendingClaim claim) {
		return now() - claim.withoutMajoritySinceMonotonicMillis;
	}

	private void retry(PendingClaim claim, Refusal refusal, Effects effects) {
		long ceilingMillis = Math.min(MAX_BACKOFF_MILLIS,
				MIN_BACKOFF_MILLIS << Math.min(claim.rounds, MAX_BACKOFF_DOUBLINGS));
		long nextMonotonicMillis = now() + MIN_BACKOFF_MILLIS + this.random.nextLong(ceilingMillis);
		if (nextMonotonicMillis + LAST_ROUND_MARGIN_MILLIS >= claim.deadlineMonotonicMillis) {
			deny(claim, refusal, effects);
			return;
		}
		abandonRound(claim.round, claim.key, effects);
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
			abandonRound(claim.round, claim.key, effects);
			claim.round = null;
		}
	}

	private void abandonRound(ClaimRound round, KeyId key, Effects effects) {
		this.byClaim.remove(round.claim());
		this.ended.abandon(round.claim(), key, round.seatsToRelease(), effects);
	}

	void release(long requestId, Effects effects) {
		PendingClaim claim = this.pending.get(requestId);
		if (claim != null) {
			end(claim, effects);
		}
		GrantedClaim granted = this.granted.remove(requestId);
		if (granted != null) {
			this.ended.abandon(granted.claim(), granted.key(), granted.seats(), effects);
		}
	}

	void complete(long requestId, Optional<StoredAnswer> answer, Effects effects) {
		GrantedClaim granted = this.granted.remove(requestId);
		if (granted != null) {
			for (ZoneId seat : granted.seats()) {
				this.ended.complete(new Settled(seat, granted.key(), granted.fingerprint(), granted.claim(), answer),
						effects);
			}
		}
	}

	/**
	 * Returns whether a granted request may be sent to an endpoint now.
	 * @param requestId the request
	 * @return false if the claim is not held or the window of its key is about to end
	 */
	boolean mayDispatch(long requestId) {
		GrantedClaim granted = this.granted.get(requestId);
		return granted != null && isInWindow(granted.key(), DISPATCH_MARGIN_MILLIS);
	}

	private boolean isInWindow(KeyId key, long marginMillis) {
		IdempotencySettings settings = this.context.settings();
		long ageMillis = this.context.now().epochMillis() - key.firstSentEpochMillis();
		return ageMillis >= -settings.clockSkewMillis()
				&& ageMillis + marginMillis + 2 * settings.clockSkewMillis() < settings.windowMillis();
	}

	/**
	 * Abandons the rounds in progress, because the time that passed during the pause was
	 * not observed.
	 * @param effects receives the messages to send
	 */
	void paused(Effects effects) {
		for (PendingClaim claim : List.copyOf(this.pending.values())) {
			if (claim.round != null) {
				abandonRound(claim.round, claim.key, effects);
				claim.round = null;
				claim.nextRoundMonotonicMillis = now();
			}
		}
	}

	void tick(Effects effects) {
		if (now() < this.nextTickMonotonicMillis) {
			return;
		}
		this.nextTickMonotonicMillis = now() + TICK_INTERVAL_MILLIS;
		for (PendingClaim claim : List.copyOf(this.pending.values())) {
			if (claim.round != null) {
				continueRound(claim, effects);
			}
			else if (isOutOfTime(claim)) {
				deny(claim, claim.lastRefusal, effects);
			}
			else if (now() >= claim.nextRoundMonotonicMillis) {
				startRound(claim, effects);
			}
		}
	}

	private boolean isOutOfTime(PendingClaim claim) {
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
		boolean timedOut = now() - claim.round.startedMonotonicMillis() >= ROUND_TIMEOUT_MILLIS;
		if (timedOut || isOutOfTime(claim)) {
			concludeRound(claim, effects);
		}
		else if (now() >= claim.nextSendMonotonicMillis) {
			claim.nextSendMonotonicMillis = now() + RETRANSMIT_INTERVAL_MILLIS;
			sendClaims(claim, claim.round.undecidedSeats(), true, effects);
			evaluate(claim, effects);
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

	int grantedClaims() {
		return this.granted.size();
	}

	private record GrantedClaim(ClaimId claim, KeyId key, long fingerprint, List<ZoneId> seats) {
	}

}
