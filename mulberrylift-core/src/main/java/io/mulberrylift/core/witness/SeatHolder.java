package io.mulberrylift.core.witness;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.IdempotencySettings;
import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.WitnessMessage.Claim;
import io.mulberrylift.core.peer.WitnessMessage.ClaimId;
import io.mulberrylift.core.peer.WitnessMessage.Decision;
import io.mulberrylift.core.peer.WitnessMessage.Grant;
import io.mulberrylift.core.peer.WitnessMessage.KeyId;
import io.mulberrylift.core.peer.WitnessMessage.Release;
import io.mulberrylift.core.peer.WitnessMessage.Settled;
import io.mulberrylift.core.peer.WitnessMessage.Verdict;
import io.mulberrylift.core.time.Moment;

/**
 * Answers claims for the witness seat of this instance's zone.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Keys are granted only with the authority of
 * {@link GrantAuthority}. Recorded results are reported without authority too, because
 * they never change. After the resignation all messages are forwarded to the successor.
 * </p>
 */
final class SeatHolder {

	private final WitnessContext context;

	private final GrantAuthority authority;

	private final GrantTable grants = new GrantTable();

	private FleetConfiguration configuration;

	private InstanceId successor;

	SeatHolder(WitnessContext context) {
		this.context = context;
		this.authority = new GrantAuthority(context.fleet().self());
	}

	GrantAuthority authority() {
		return this.authority;
	}

	GrantTable grants() {
		return this.grants;
	}

	void forwardTo(InstanceId newSuccessor) {
		this.successor = newSuccessor;
	}

	/**
	 * Applies the current instance list and configuration.
	 */
	void refresh() {
		Moment now = this.context.now();
		this.authority.recordStart(now);
		FleetConfiguration current = this.context.fleet().configuration().orElse(null);
		if (current == null) {
			return;
		}
		if (this.configuration != null && boundsDiffer(this.configuration, current)) {
			this.authority.reset(widest(this.configuration.promise(), current.promise()), now);
		}
		this.configuration = current;
		this.authority.listRead(this.context.fleet().list(), current.promise(), now);
	}

	private static boolean boundsDiffer(FleetConfiguration first, FleetConfiguration second) {
		return !first.witnessZones().equals(second.witnessZones())
				|| first.promise().listFreshnessMillis() != second.promise().listFreshnessMillis()
				|| first.promise().clockSkewMillis() != second.promise().clockSkewMillis()
				|| first.promise().windowMillis() != second.promise().windowMillis();
	}

	private static IdempotencySettings widest(IdempotencySettings first, IdempotencySettings second) {
		return new IdempotencySettings(Math.max(first.windowMillis(), second.windowMillis()), 0, 0,
				Math.max(first.clockSkewMillis(), second.clockSkewMillis()),
				Math.max(first.listFreshnessMillis(), second.listFreshnessMillis()));
	}

	void claim(Claim message, Effects effects) {
		if (this.successor != null) {
			this.context.send(this.successor, message, effects);
			return;
		}
		Decision decision = decide(message);
		Optional<Grant> grant = this.grants.find(message.key());
		Optional<ClaimId> holder = grant.map(Grant::claim).filter((claim) -> !claim.equals(message.claim()));
		if (decision == Decision.RUNNING) {
			// A claimant whose claim has ended then resends a lost release or result.
			holder.ifPresent((claim) -> resendGrant(message.seat(), claim, effects));
		}
		boolean withAnswer = decision == Decision.SETTLED;
		effects.count(Part.WITNESS, "verdict." + decision.name().toLowerCase(java.util.Locale.ROOT));
		this.context.send(message.claim().claimant(), new Verdict(message.seat(), message.claim(), decision, holder,
				withAnswer ? grant.flatMap(Grant::answer) : Optional.empty()), effects);
	}

	private void resendGrant(ZoneId seat, ClaimId claim, Effects effects) {
		this.context.send(claim.claimant(),
				new Verdict(seat, claim, Decision.GRANTED, Optional.empty(), Optional.empty()), effects);
	}

	private Decision decide(Claim message) {
		KeyId key = message.key();
		Optional<Grant> known = this.grants.find(key);
		boolean settled = known.isPresent() && known.get().settled();
		if (settled && known.get().fingerprint() == message.fingerprint()) {
			return Decision.SETTLED;
		}
		if (!hasAuthorityFor(message)) {
			return Decision.NO_AUTHORITY;
		}
		if (known.isPresent()) {
			return decideKnown(known.get(), message);
		}
		return decideNew(message);
	}

	private static Decision decideKnown(Grant known, Claim message) {
		if (known.claim().equals(message.claim())) {
			return Decision.GRANTED;
		}
		return (known.fingerprint() == message.fingerprint()) ? Decision.RUNNING : Decision.FINGERPRINT_DIFFERS;
	}

	private Decision decideNew(Claim message) {
		IdempotencySettings settings = this.context.settings();
		KeyId key = message.key();
		long firstSent = key.firstSentEpochMillis();
		long nowEpochMillis = this.context.now().epochMillis();
		boolean inFuture = firstSent > nowEpochMillis + settings.clockSkewMillis();
		if (inFuture || firstSent < nowEpochMillis - settings.windowMillis()) {
			return Decision.OUT_OF_WINDOW;
		}
		if (firstSent <= this.authority.floorEpochMillis()) {
			return Decision.ABSTAINED;
		}
		if (this.grants.isReleased(message.claim()) || this.grants.isFull(settings)) {
			return Decision.NO_AUTHORITY;
		}
		this.grants.grant(key, message.fingerprint(), message.claim());
		return Decision.GRANTED;
	}

	private boolean hasAuthorityFor(Claim message) {
		ZoneId seat = message.seat();
		boolean configured = this.configuration != null && this.configuration.witnessZones().contains(seat)
				&& SeatTable.electorate(this.configuration.witnessZones()) == message.electorate();
		return configured && seat.equals(this.context.fleet().self().zone())
				&& this.authority.mayGrant(this.context.settings(), this.context.now());
	}

	void release(Release message, Effects effects) {
		if (this.successor != null) {
			this.context.send(this.successor, message, effects);
			return;
		}
		this.grants.release(message.key(), message.claim(), this.context.now().monotonicMillis());
	}

	void settled(Settled message, Effects effects) {
		if (this.successor != null) {
			this.context.send(this.successor, message, effects);
			return;
		}
		IdempotencySettings settings = this.context.settings();
		this.grants.recordResult(message.key(), message.fingerprint(), message.claim(), message.answer(), settings);
	}

	void tick() {
		Moment now = this.context.now();
		this.grants.removeExpired(this.context.settings(), now.epochMillis(), now.monotonicMillis());
	}

	Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		state.put("mayGrant", this.authority.mayGrant(this.context.settings(), this.context.now()));
		state.put("resigned", this.authority.isResigned());
		state.put("floorEpochMillis", this.authority.floorEpochMillis());
		state.put("keys", this.grants.size());
		state.put("storedAnswerBytes", this.grants.answerBytes());
		return state;
	}

}
