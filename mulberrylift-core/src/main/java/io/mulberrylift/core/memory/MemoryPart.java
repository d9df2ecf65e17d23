package io.mulberrylift.core.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.scheduling.Assignment;
import io.mulberrylift.core.time.Moment;

/**
 * Reserves memory on several engines for one request, all or nothing, and releases it.
 *
 * <p>
 * Not thread-safe; owned by the reducer. The members of a reservation are the engines
 * that run one request together. Invariants: holds are requested from one member at a
 * time in the order of their ids, so that two instances that reserve overlapping members
 * cannot deadlock; when a member refuses, all granted holds are released; a hold is
 * tracked until its engine confirms that it does not exist or is no longer listed, and
 * its release is repeated until then. Holds expire on the engine, so that the memory
 * becomes free even when no instance is left to release it.
 * </p>
 */
public final class MemoryPart implements Reservations {

	private static final long EXPIRY_AFTER_DEADLINE_MILLIS = 2_000;

	private static final long FIRST_RELEASE_RETRY_MILLIS = 200;

	private static final long MAX_RELEASE_RETRY_MILLIS = 2_000;

	private final FleetState fleet;

	private final AbandonedHoldCleaner abandonedHoldCleaner;

	private final Map<Long, Reservation> reservations = new LinkedHashMap<>();

	private final Map<Long, Reservation> byHold = new HashMap<>();

	private final Map<Long, PendingRelease> releases = new LinkedHashMap<>();

	private final List<ReservationOutcome> outcomes = new ArrayList<>();

	private long nextHoldId = 1;

	/**
	 * Creates the part.
	 * @param fleet the shared state
	 */
	public MemoryPart(FleetState fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		this.abandonedHoldCleaner = new AbandonedHoldCleaner(fleet);
	}

	@Override
	public void reserve(Assignment assignment, long deadlineMonotonicMillis, Moment now, Effects effects) {
		Reservation reservation = new Reservation(assignment, deadlineMonotonicMillis);
		this.reservations.put(assignment.requestId(), reservation);
		requestNextMember(reservation, now, effects);
	}

	private void requestNextMember(Reservation reservation, Moment now, Effects effects) {
		if (reservation.granted.size() == reservation.members.size()) {
			reservation.complete = true;
			this.outcomes
				.add(new ReservationOutcome.Reserved(reservation.requestId(), reservation.holdsRunningEngineFirst()));
			return;
		}
		EndpointId member = reservation.members.get(reservation.granted.size());
		long expiresInMillis = reservation.deadlineMonotonicMillis - now.monotonicMillis()
				+ EXPIRY_AFTER_DEADLINE_MILLIS;
		HoldDescription hold = new HoldDescription(this.nextHoldId++, this.fleet.self().id(),
				this.fleet.self().incarnation(), reservation.assignment.memberTokens(), expiresInMillis);
		reservation.requested = hold;
		this.byHold.put(hold.holdId(), reservation);
		effects.add(new EndpointEffect.AcquireHold(member, hold));
	}

	@Override
	public void free(long requestId, Moment now, Effects effects) {
		Reservation reservation = this.reservations.remove(requestId);
		if (reservation == null) {
			return;
		}
		reservation.granted.forEach((member, hold) -> release(member, hold, now, effects));
		if (reservation.requested != null) {
			release(reservation.requestedMember(), reservation.requested, now, effects);
		}
	}

	private void release(EndpointId engine, HoldDescription hold, Moment now, Effects effects) {
		this.byHold.remove(hold.holdId());
		this.releases.put(hold.holdId(), new PendingRelease(engine, hold,
				now.monotonicMillis() + FIRST_RELEASE_RETRY_MILLIS, FIRST_RELEASE_RETRY_MILLIS));
		effects.add(new EndpointEffect.ReleaseHold(engine, hold));
	}

	/**
	 * Handles an answer about holds.
	 * @param event the answer; other events are ignored
	 * @param effects receives the calls to engines
	 */
	public void handle(EndpointEvent event, Effects effects) {
		if (event instanceof EndpointEvent.HoldAnswered answered) {
			answered(answered, effects);
		}
		else if (event instanceof EndpointEvent.HoldUnanswered unanswered) {
			unanswered(unanswered.holdId(), event.at(), effects);
		}
		else if (event instanceof EndpointEvent.HoldReleased released) {
			released(released, effects);
		}
		else if (event instanceof EndpointEvent.HoldsListed listed) {
			this.abandonedHoldCleaner.listed(listed, effects);
		}
	}

	private void answered(EndpointEvent.HoldAnswered event, Effects effects) {
		Reservation reservation = this.byHold.get(event.holdId());
		if (reservation == null || reservation.requested == null || reservation.requested.holdId() != event.holdId()) {
			return;
		}
		if (!event.granted()) {
			this.byHold.remove(event.holdId());
			reservation.requested = null;
			effects.count(Part.MEMORY, "hold.refused");
			fail(reservation, event.at(), effects);
			return;
		}
		reservation.granted.put(event.endpoint(), reservation.requested);
		reservation.requested = null;
		requestNextMember(reservation, event.at(), effects);
	}

	private void unanswered(long holdId, Moment now, Effects effects) {
		Reservation reservation = this.byHold.get(holdId);
		if (reservation != null && reservation.requested != null && reservation.requested.holdId() == holdId) {
			effects.count(Part.MEMORY, "hold.unanswered");
			fail(reservation, now, effects);
		}
	}

	private void fail(Reservation reservation, Moment now, Effects effects) {
		free(reservation.requestId(), now, effects);
		this.outcomes.add(new ReservationOutcome.Unavailable(reservation.requestId()));
	}

	private void released(EndpointEvent.HoldReleased event, Effects effects) {
		if (event.hold().owner().equals(this.fleet.self().id())
				&& event.hold().ownerIncarnation() == this.fleet.self().incarnation()
				&& this.releases.remove(event.hold().holdId()) != null) {
			effects.count(Part.MEMORY, "hold.released");
		}
	}

	/**
	 * Repeats unconfirmed releases and looks for abandoned holds.
	 * @param now the current time
	 * @param effects receives the calls to engines
	 */
	public void tick(Moment now, Effects effects) {
		this.releases.values().removeIf((release) -> this.fleet.endpoint(release.engine()).isEmpty());
		for (PendingRelease release : List.copyOf(this.releases.values())) {
			if (release.dueMonotonicMillis() <= now.monotonicMillis()) {
				this.releases.put(release.hold().holdId(), release.next(now));
				effects.add(new EndpointEffect.ReleaseHold(release.engine(), release.hold()));
			}
		}
		this.abandonedHoldCleaner.tick(now, effects);
	}

	@Override
	public List<ReservationOutcome> takeOutcomes() {
		if (this.outcomes.isEmpty()) {
			return List.of();
		}
		List<ReservationOutcome> taken = List.copyOf(this.outcomes);
		this.outcomes.clear();
		return taken;
	}

	/**
	 * Returns whether no hold of this process can exist on any engine.
	 * @return true if none can
	 */
	public boolean isEmpty() {
		return this.reservations.isEmpty() && this.releases.isEmpty();
	}

	/**
	 * Returns the state shown to operators.
	 * @return the numbers of reservations and unconfirmed releases, and the last number
	 * of holds listed by engine
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		state.put("reservations", this.reservations.size());
		state.put("unconfirmedReleases", this.releases.size());
		state.put("census", this.abandonedHoldCleaner.describe());
		return state;
	}

	private static final class Reservation {

		private final Assignment assignment;

		private final long deadlineMonotonicMillis;

		private final List<EndpointId> members;

		private final Map<EndpointId, HoldDescription> granted = new LinkedHashMap<>();

		private HoldDescription requested;

		private boolean complete;

		Reservation(Assignment assignment, long deadlineMonotonicMillis) {
			this.assignment = assignment;
			this.deadlineMonotonicMillis = deadlineMonotonicMillis;
			this.members = assignment.members().stream().sorted().toList();
		}

		long requestId() {
			return this.assignment.requestId();
		}

		EndpointId requestedMember() {
			return this.members.get(this.granted.size());
		}

		List<AttemptEffect.MemberHold> holdsRunningEngineFirst() {
			Comparator<AttemptEffect.MemberHold> runningFirst = Comparator
				.comparing((hold) -> !hold.endpoint().equals(this.assignment.endpoint()));
			return this.granted.entrySet()
				.stream()
				.map((entry) -> new AttemptEffect.MemberHold(entry.getKey(), entry.getValue().holdId()))
				.sorted(runningFirst)
				.toList();
		}

	}

	private record PendingRelease(EndpointId engine, HoldDescription hold, long dueMonotonicMillis, long retryMillis) {

		PendingRelease next(Moment now) {
			long nextRetryMillis = Math.min(this.retryMillis * 2, MAX_RELEASE_RETRY_MILLIS);
			return new PendingRelease(this.engine, this.hold, now.monotonicMillis() + nextRetryMillis, nextRetryMillis);
		}

	}

}
