package io.mulberrylift.core.witness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.WitnessMessage.Grant;
import io.mulberrylift.core.peer.WitnessMessage.Handover;
import io.mulberrylift.core.peer.WitnessMessage.HandoverTaken;

/**
 * Hands the seat of a leaving instance over to its successor, and accepts the seat of a
 * leaving predecessor.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Invariants: nothing is granted after the first
 * part of the handover was built; the seat goes to one process only, identified by its
 * incarnation; a handover takes effect at most once, and only when all its parts have
 * arrived.
 * </p>
 */
final class Handovers {

	private static final int MAX_PART_GRANTS = 256;

	private static final int MAX_PART_ANSWER_BYTES = 256 * 1_024;

	private static final int MAX_PARTS_IN_FLIGHT = 8;

	private static final long RETRANSMIT_INTERVAL_MILLIS = 300;

	private static final long NO_SUCCESSOR_TIMEOUT_MILLIS = 2_000;

	private static final long CONFIRMATION_TIMEOUT_MILLIS = 15_000;

	private final WitnessContext context;

	private final SeatHolder holder;

	private final Map<Sender, IncomingHandover> incoming = new HashMap<>();

	private boolean shuttingDown;

	private long shutdownMonotonicMillis;

	private long shutdownEpochMillis;

	private InstanceId successor;

	private List<Handover> parts = List.of();

	private boolean[] confirmed = new boolean[0];

	private long nextSendMonotonicMillis = Long.MIN_VALUE;

	Handovers(WitnessContext context, SeatHolder holder) {
		this.context = context;
		this.holder = holder;
	}

	void shutDown(Effects effects) {
		this.shuttingDown = true;
		this.shutdownMonotonicMillis = this.context.now().monotonicMillis();
		this.shutdownEpochMillis = this.context.now().epochMillis();
		tick(effects);
	}

	void tick(Effects effects) {
		boolean leaving = this.shuttingDown || this.holder.authority().listedAsLeaving();
		if (leaving && this.successor == null && hasSeat()) {
			chooseSuccessor(effects);
		}
		if (this.successor != null && this.context.now().monotonicMillis() >= this.nextSendMonotonicMillis) {
			sendUnconfirmedParts(effects);
		}
	}

	private void chooseSuccessor(Effects effects) {
		ZoneId seat = this.context.fleet().self().zone();
		SeatTable.successor(this.context.fleet().list(), seat, this.context.fleet().self().id())
			.map(InstanceDescription::id)
			.ifPresent((candidate) -> beginHandover(seat, candidate, effects));
	}

	private void beginHandover(ZoneId seat, InstanceId candidate, Effects effects) {
		OptionalLong incarnation = this.context.peers().incarnation(candidate);
		if (incarnation.isEmpty() || this.context.peers().isLost(candidate)) {
			return;
		}
		this.holder.authority().resign();
		this.successor = candidate;
		this.parts = split(seat, incarnation.getAsLong());
		this.confirmed = new boolean[this.parts.size()];
		this.holder.forwardTo(candidate);
		effects.info(Part.WITNESS,
				"handing seat " + seat + " with " + this.holder.grants().size() + " keys over to " + candidate);
		effects.count(Part.WITNESS, "handover.begun");
	}

	private List<Handover> split(ZoneId seat, long successorIncarnation) {
		List<List<Grant>> groups = new ArrayList<>();
		List<Grant> group = new ArrayList<>();
		int answerBytes = 0;
		for (Grant grant : this.holder.grants().all()) {
			int sizeBytes = grant.answer().map((answer) -> answer.body().length).orElse(0);
			if (group.size() == MAX_PART_GRANTS || answerBytes + sizeBytes > MAX_PART_ANSWER_BYTES) {
				groups.add(group);
				group = new ArrayList<>();
				answerBytes = 0;
			}
			group.add(grant);
			answerBytes += sizeBytes;
		}
		groups.add(group);
		long resigned = this.holder.authority().resignationEpochMillis(this.context.now());
		long floor = this.holder.authority().handoverFloorEpochMillis(this.context.settings(), this.context.now());
		List<Handover> messages = new ArrayList<>();
		for (int i = 0; i < groups.size(); i++) {
			messages.add(new Handover(seat, successorIncarnation, resigned, floor, i, groups.size(), groups.get(i)));
		}
		return messages;
	}

	private void sendUnconfirmedParts(Effects effects) {
		int inFlight = 0;
		for (int i = 0; i < this.confirmed.length && inFlight < MAX_PARTS_IN_FLIGHT; i++) {
			if (!this.confirmed[i]) {
				this.context.send(this.successor, this.parts.get(i), effects);
				inFlight++;
			}
		}
		this.nextSendMonotonicMillis = this.context.now().monotonicMillis() + RETRANSMIT_INTERVAL_MILLIS;
	}

	void partConfirmed(InstanceId from, HandoverTaken message, Effects effects) {
		boolean known = from.equals(this.successor) && message.part() >= 0 && message.part() < this.confirmed.length;
		if (!known || this.confirmed[message.part()]) {
			return;
		}
		this.confirmed[message.part()] = true;
		if (isConfirmed()) {
			effects.info(Part.WITNESS, "seat handover confirmed by " + this.successor);
			effects.count(Part.WITNESS, "handover.confirmed");
		}
		else if ((message.part() + 1) % MAX_PARTS_IN_FLIGHT == 0) {
			sendUnconfirmedParts(effects);
		}
	}

	private boolean isConfirmed() {
		for (boolean part : this.confirmed) {
			if (!part) {
				return false;
			}
		}
		return this.successor != null;
	}

	/**
	 * Accepts one part of a predecessor's grants.
	 * @param from the predecessor
	 * @param senderIncarnation incarnation of the predecessor's process
	 * @param message the part
	 * @param effects receives the confirmation
	 */
	void partReceived(InstanceId from, long senderIncarnation, Handover message, Effects effects) {
		boolean forThisProcess = message.heirIncarnation() == this.context.fleet().self().incarnation()
				&& message.seat().equals(this.context.fleet().self().zone());
		boolean tooLate = this.holder.authority().isResigned();
		if (!forThisProcess || tooLate) {
			return;
		}
		IncomingHandover sent = this.incoming.computeIfAbsent(new Sender(from, senderIncarnation),
				(key) -> new IncomingHandover());
		this.context.send(from, new HandoverTaken(message.seat(), message.part()), effects);
		if (sent.complete) {
			return;
		}
		sent.parts.put(message.part(), message);
		if (sent.parts.size() == message.parts()) {
			sent.complete = true;
			applyHandover(from, sent, effects);
		}
	}

	private void applyHandover(InstanceId from, IncomingHandover sent, Effects effects) {
		int keys = 0;
		for (Handover part : sent.parts.values()) {
			this.holder.grants().merge(part.grants(), this.context.settings());
			keys += part.grants().size();
		}
		Handover any = sent.parts.values().iterator().next();
		sent.parts.clear();
		this.holder.authority()
			.acceptHandover(from, any.resignedEpochMillis(), any.sinceEpochMillis(), this.context.settings());
		effects.info(Part.WITNESS, "accepted seat of " + from + " with " + keys + " keys");
		effects.count(Part.WITNESS, "handover.taken");
	}

	/**
	 * Returns whether the seat no longer keeps the process from exiting.
	 * @return true if there is no seat, the successor has confirmed the handover, the
	 * confirmation has timed out, or no successor can be found
	 */
	boolean isDone() {
		long waitedMillis = this.context.now().monotonicMillis() - this.shutdownMonotonicMillis;
		if (this.successor != null) {
			return isConfirmed() || waitedMillis >= CONFIRMATION_TIMEOUT_MILLIS;
		}
		return !hasSeat() || (waitedMillis >= NO_SUCCESSOR_TIMEOUT_MILLIS && !mayFindSuccessor());
	}

	/**
	 * Returns whether a successor may still be found in time: one is listed but no
	 * message of it has been received yet, or no list has been read since the shutdown
	 * began. Once this process's own authority is out of date, a handover has no effect.
	 * @return true if a successor may still be found
	 */
	private boolean mayFindSuccessor() {
		boolean useful = this.holder.authority()
			.handoverFloorEpochMillis(this.context.settings(), this.context.now()) != Long.MAX_VALUE;
		FleetList list = this.context.fleet().list();
		InstanceIdentity self = this.context.fleet().self();
		boolean listed = SeatTable.successor(list, self.zone(), self.id()).isPresent();
		return useful && (listed || list.publishedAtEpochMillis() < this.shutdownEpochMillis);
	}

	private boolean hasSeat() {
		return this.holder.authority().hasSeat() && this.context.isWitnessZone(this.context.fleet().self().zone());
	}

	private record Sender(InstanceId instance, long incarnation) {
	}

	private static final class IncomingHandover {

		private final Map<Integer, Handover> parts = new HashMap<>();

		private boolean complete;

	}

}
