package io.mulberrylift.core.witness;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.peer.WitnessMessage;
import io.mulberrylift.core.time.Moment;

/**
 * Claims keys at the witness seats and holds the seat of this instance's zone when it is
 * this instance's turn.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. Each configured witness zone
 * has one seat. A key may run once a majority of the seats has granted it to one claim,
 * and a seat grants a key to one claim only, through all changes of its holder.
 * </p>
 */
public final class WitnessPart implements Claims {

	private final WitnessContext context;

	private final SeatSender sender;

	private final SeatHolder holder;

	private final ClaimCoordinator claimant;

	private final Handovers handovers;

	private boolean refreshed;

	private long seenConfigurationVersion;

	/**
	 * Creates the part.
	 * @param fleet the shared state, not null
	 * @param peers what is known of other instances, not null
	 * @param random source of jitter, not null
	 */
	public WitnessPart(FleetState fleet, PeerLiveness peers, RandomGenerator random) {
		this.context = new WitnessContext(fleet, peers);
		this.sender = new SeatSender(this.context);
		this.holder = new SeatHolder(this.context);
		this.claimant = new ClaimCoordinator(this.context, this.sender, random);
		this.handovers = new Handovers(this.context, this.holder);
		long ownIncarnation = fleet.self().incarnation();
		this.context.deliverLocallyTo((from, message, effects) -> route(from, ownIncarnation, message, effects));
	}

	/**
	 * Takes the time of an event before the event itself is handled.
	 * @param now the time of the event
	 */
	public void observe(Moment now) {
		this.context.observe(now);
		boolean configurationChanged = this.seenConfigurationVersion != this.context.fleet().configurationVersion();
		if (!this.refreshed || configurationChanged) {
			listRead();
		}
	}

	/**
	 * Takes note that the instance list was read and the newest one is in the shared
	 * state.
	 */
	public void listRead() {
		this.refreshed = true;
		this.seenConfigurationVersion = this.context.fleet().configurationVersion();
		this.holder.refresh();
	}

	/**
	 * Takes a message of another instance.
	 * @param from the sender
	 * @param senderIncarnation incarnation of the sender's process
	 * @param message the message
	 * @param effects takes the effects
	 */
	public void received(InstanceId from, long senderIncarnation, WitnessMessage message, Effects effects) {
		route(from, senderIncarnation, message, effects);
	}

	private void route(InstanceId from, long senderIncarnation, WitnessMessage message, Effects effects) {
		if (message instanceof WitnessMessage.Claim claim) {
			this.holder.claim(claim, effects);
		}
		else if (message instanceof WitnessMessage.Verdict verdict) {
			this.claimant.verdict(verdict, effects);
		}
		else if (message instanceof WitnessMessage.Release release) {
			this.holder.release(release, effects);
		}
		else if (message instanceof WitnessMessage.Settled settled) {
			this.holder.settled(settled, effects);
		}
		else if (message instanceof WitnessMessage.Handover handover) {
			this.handovers.partReceived(from, senderIncarnation, handover, effects);
		}
		else if (message instanceof WitnessMessage.HandoverTaken taken) {
			this.handovers.partConfirmed(from, taken, effects);
		}
	}

	/**
	 * Voids what was known before the process paused: no grant is given until the list
	 * has been read again, and rounds under way are given up.
	 * @param effects takes the effects
	 */
	public void paused(Effects effects) {
		effects.count(Part.WITNESS, "paused");
		this.holder.authority().paused();
		this.claimant.paused(effects);
	}

	/**
	 * Starts to hand the seat over.
	 * @param effects takes the effects
	 */
	public void shutDown(Effects effects) {
		this.handovers.shutDown(effects);
	}

	/**
	 * Sends what is due and forgets what is old.
	 * @param effects takes the effects
	 */
	public void tick(Effects effects) {
		this.holder.tick();
		this.handovers.tick(effects);
		this.claimant.tick(effects);
		this.sender.tick(effects);
	}

	/**
	 * Returns when {@link #tick(Effects)} is due next without other events.
	 * @return the monotonic time in milliseconds, {@link Long#MAX_VALUE} for never
	 */
	public long nextWakeMonotonicMillis() {
		return this.claimant.nextWakeMonotonicMillis();
	}

	/**
	 * Returns whether the process may end as far as the seat is concerned.
	 * @return true when the seat was taken over, none is held or waiting is useless
	 */
	public boolean isDone() {
		return this.handovers.isDone();
	}

	@Override
	public void claim(RequestSpec spec, long deadlineMonotonicMillis, Moment now, Effects effects) {
		this.context.observe(now);
		this.claimant.claim(spec, deadlineMonotonicMillis, effects);
	}

	@Override
	public void release(long requestId, Effects effects) {
		this.claimant.release(requestId, effects);
	}

	@Override
	public void complete(long requestId, Optional<StoredAnswer> answer, Moment now, Effects effects) {
		this.context.observe(now);
		this.claimant.complete(requestId, answer, effects);
	}

	@Override
	public boolean mayDispatch(long requestId, Moment now) {
		this.context.observe(now);
		return this.claimant.mayDispatch(requestId);
	}

	@Override
	public List<ClaimOutcome> takeOutcomes() {
		return this.claimant.takeOutcomes();
	}

	/**
	 * Returns the state for an operator.
	 * @return seat, memory and claims
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>(this.holder.describe());
		state.put("pendingClaims", this.claimant.pendingClaims());
		state.put("wonClaims", this.claimant.grantedClaims());
		return state;
	}

}
