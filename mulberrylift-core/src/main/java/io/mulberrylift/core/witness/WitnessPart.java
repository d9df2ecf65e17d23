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
 * Claims keys at the witness seats, and holds the seat of this instance's zone while this
 * instance has the authority for it.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Each configured witness zone has one seat. A
 * request may run once a majority of the seats has granted its key to one claim, and a
 * seat grants a key to one claim only, even when the holder of the seat changes.
 * </p>
 */
public final class WitnessPart implements Claims {

	private final WitnessContext context;

	private final SeatSender sender;

	private final SeatHolder holder;

	private final ClaimCoordinator claimCoordinator;

	private final Handovers handovers;

	private boolean refreshed;

	private long seenConfigurationVersion;

	/**
	 * Creates the part.
	 * @param fleet the shared state, not null
	 * @param peers liveness of other instances, not null
	 * @param random source of jitter, not null
	 */
	public WitnessPart(FleetState fleet, PeerLiveness peers, RandomGenerator random) {
		this.context = new WitnessContext(fleet, peers);
		this.sender = new SeatSender(this.context);
		this.holder = new SeatHolder(this.context);
		this.claimCoordinator = new ClaimCoordinator(this.context, this.sender, random);
		this.handovers = new Handovers(this.context, this.holder);
		long ownIncarnation = fleet.self().incarnation();
		this.context.deliverLocallyTo((from, message, effects) -> route(from, ownIncarnation, message, effects));
	}

	/**
	 * Records the time of an event. Must be called before the event itself is handled.
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
	 * Handles a successful read of the instance list. The newest list is in the shared
	 * state.
	 */
	public void listRead() {
		this.refreshed = true;
		this.seenConfigurationVersion = this.context.fleet().configurationVersion();
		this.holder.refresh();
	}

	/**
	 * Handles a message of another instance.
	 * @param from the sender
	 * @param senderIncarnation incarnation of the sender's process
	 * @param message the message
	 * @param effects receives the effects
	 */
	public void received(InstanceId from, long senderIncarnation, WitnessMessage message, Effects effects) {
		route(from, senderIncarnation, message, effects);
	}

	private void route(InstanceId from, long senderIncarnation, WitnessMessage message, Effects effects) {
		if (message instanceof WitnessMessage.Claim claim) {
			this.holder.claim(claim, effects);
		}
		else if (message instanceof WitnessMessage.Verdict verdict) {
			this.claimCoordinator.verdict(verdict, effects);
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
	 * Handles a pause of this process: nothing is granted until the instance list has
	 * been read again, and rounds in progress are abandoned.
	 * @param effects receives the effects
	 */
	public void paused(Effects effects) {
		effects.count(Part.WITNESS, "paused");
		this.holder.authority().paused();
		this.claimCoordinator.paused(effects);
	}

	/**
	 * Starts the handover of the seat.
	 * @param effects receives the effects
	 */
	public void shutDown(Effects effects) {
		this.handovers.shutDown(effects);
	}

	/**
	 * Sends the messages that are due and removes expired state.
	 * @param effects receives the effects
	 */
	public void tick(Effects effects) {
		this.holder.tick();
		this.handovers.tick(effects);
		this.claimCoordinator.tick(effects);
		this.sender.tick(effects);
	}

	/**
	 * Returns when {@link #tick(Effects)} is due next if no other event occurs.
	 * @return the monotonic time in milliseconds, {@link Long#MAX_VALUE} for never
	 */
	public long nextWakeMonotonicMillis() {
		return this.claimCoordinator.nextWakeMonotonicMillis();
	}

	/**
	 * Returns whether the seat no longer keeps the process from exiting.
	 * @return true if no seat is held, its handover is confirmed or has timed out, or no
	 * successor can be found
	 */
	public boolean isDone() {
		return this.handovers.isDone();
	}

	@Override
	public void claim(RequestSpec spec, long deadlineMonotonicMillis, Moment now, Effects effects) {
		this.context.observe(now);
		this.claimCoordinator.claim(spec, deadlineMonotonicMillis, effects);
	}

	@Override
	public void release(long requestId, Effects effects) {
		this.claimCoordinator.release(requestId, effects);
	}

	@Override
	public void complete(long requestId, Optional<StoredAnswer> answer, Moment now, Effects effects) {
		this.context.observe(now);
		this.claimCoordinator.complete(requestId, answer, effects);
	}

	@Override
	public boolean mayDispatch(long requestId, Moment now) {
		this.context.observe(now);
		return this.claimCoordinator.mayDispatch(requestId);
	}

	@Override
	public List<ClaimOutcome> takeOutcomes() {
		return this.claimCoordinator.takeOutcomes();
	}

	/**
	 * Returns the state shown to operators.
	 * @return authority, grants and claims
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>(this.holder.describe());
		state.put("pendingClaims", this.claimCoordinator.pendingClaims());
		state.put("wonClaims", this.claimCoordinator.grantedClaims());
		return state;
	}

}
