package io.mulberrylift.core.witness;

import java.util.Optional;

import io.mulberrylift.core.configuration.IdempotencySettings;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.time.Moment;

/**
 * Decides whether this process may grant keys for the witness seat of its zone, and which
 * keys.
 *
 * <p>
 * Not thread-safe; owned by the reducer. The floor is the time from which the grant
 * history of this process is complete. Invariants: authority derived from an instance
 * list ends one freshness period after the platform confirmed that list; a process grants
 * only keys that were first sent after its floor, and the floor is later than the first
 * send of every key that a predecessor could have granted without handing it over; a
 * process that has resigned never grants again.
 * </p>
 */
final class GrantAuthority {

	private final InstanceIdentity self;

	private FleetList list = FleetList.EMPTY;

	private long listReceivedMonotonicMillis;

	private long startEpochMillis;

	private boolean started;

	private boolean resigned;

	private boolean listInvalidated = true;

	private boolean holding;

	private boolean heldUntilLeaving;

	private boolean listedAsLeaving;

	private long listedSinceEpochMillis = Long.MIN_VALUE;

	private long firstHeldPublishedEpochMillis;

	private long lastHeldPublishedEpochMillis = Long.MIN_VALUE;

	private long floorEpochMillis;

	private long resetFloorEpochMillis = Long.MIN_VALUE;

	private ReceivedHandover receivedHandover;

	GrantAuthority(InstanceIdentity self) {
		this.self = self;
	}

	/**
	 * Records the time of the first event as the start of the process.
	 * @param now the current time
	 */
	void recordStart(Moment now) {
		if (!this.started) {
			this.started = true;
			this.startEpochMillis = now.epochMillis();
		}
	}

	/**
	 * Applies an instance list that is at least as new as the last one.
	 * @param newList the list
	 * @param settings clock skew and list freshness
	 * @param now the time of its arrival
	 */
	void listRead(FleetList newList, IdempotencySettings settings, Moment now) {
		if (newList.publishedAtEpochMillis() != this.list.publishedAtEpochMillis()) {
			this.listReceivedMonotonicMillis = now.monotonicMillis();
		}
		this.list = newList;
		this.listInvalidated = false;
		Optional<InstanceDescription> own = ownDescription();
		this.listedAsLeaving = own.map(InstanceDescription::leaving).orElse(false);
		long listedSince = own.map(InstanceDescription::listedSinceEpochMillis).orElse(Long.MIN_VALUE);
		if (listedSince != this.listedSinceEpochMillis) {
			this.listedSinceEpochMillis = listedSince;
			this.holding = false;
			this.heldUntilLeaving = false;
			this.lastHeldPublishedEpochMillis = Long.MIN_VALUE;
			this.receivedHandover = null;
		}
		boolean holder = isHolder();
		this.heldUntilLeaving |= this.holding && listedAsLeaving();
		if (holder && !this.holding) {
			this.firstHeldPublishedEpochMillis = newList.publishedAtEpochMillis();
			this.floorEpochMillis = initialFloor(settings);
			applyReceivedHandover(settings);
		}
		this.holding = holder;
		recordHeld();
	}

	private void recordHeld() {
		if (this.holding || isSuccessor()) {
			this.lastHeldPublishedEpochMillis = this.list.publishedAtEpochMillis();
		}
	}

	private long initialFloor(IdempotencySettings settings) {
		long freshness = settings.listFreshnessMillis();
		long skew = settings.clockSkewMillis();
		long floor = Math.max(this.resetFloorEpochMillis, this.firstHeldPublishedEpochMillis + freshness + skew);
		boolean listedAfterStart = this.listedSinceEpochMillis > this.startEpochMillis + skew;
		return listedAfterStart ? floor : Math.max(floor, this.startEpochMillis + 2 * freshness + 4 * skew);
	}

	/**
	 * Accepts the seat of a predecessor that has resigned and has handed over all its
	 * grants.
	 * @param from the predecessor
	 * @param resignedEpochMillis when it stopped granting, in milliseconds since the
	 * epoch
	 * @param floor the predecessor's floor in milliseconds since the epoch
	 * @param settings clock skew and list freshness
	 */
	void acceptHandover(InstanceId from, long resignedEpochMillis, long floor, IdempotencySettings settings) {
		this.receivedHandover = new ReceivedHandover(from, resignedEpochMillis, floor);
		if (this.holding) {
			applyReceivedHandover(settings);
		}
		recordHeld();
	}

	private void applyReceivedHandover(IdempotencySettings settings) {
		if (this.receivedHandover == null) {
			return;
		}
		long lastEpochMillis = this.receivedHandover.resignedEpochMillis() + settings.listFreshnessMillis();
		if (this.firstHeldPublishedEpochMillis <= lastEpochMillis) {
			long receivedFloor = Math.max(this.receivedHandover.floorEpochMillis(), this.resetFloorEpochMillis);
			this.floorEpochMillis = Math.min(this.floorEpochMillis, receivedFloor);
		}
		this.receivedHandover = null;
	}

	/**
	 * Invalidates the instance list that was read before the process paused.
	 */
	void paused() {
		this.listInvalidated = true;
	}

	/**
	 * Raises the floor because the seats or the time limits have changed.
	 * @param widest the larger of the old and the new limits
	 * @param now the current time
	 */
	void reset(IdempotencySettings widest, Moment now) {
		this.resetFloorEpochMillis = now.epochMillis() + widest.listFreshnessMillis() + 2 * widest.clockSkewMillis();
		this.floorEpochMillis = Math.max(this.floorEpochMillis, this.resetFloorEpochMillis);
	}

	/**
	 * Stops granting permanently.
	 */
	void resign() {
		this.resigned = true;
	}

	/**
	 * Returns whether this process may now grant keys that were first sent after its
	 * floor.
	 * @param settings clock skew and list freshness
	 * @param now the current time
	 * @return true if it may
	 */
	boolean mayGrant(IdempotencySettings settings, Moment now) {
		return !this.resigned && !this.listInvalidated && listIsFresh(settings, now)
				&& (this.holding || holdsByHandover(settings, now));
	}

	private boolean listIsFresh(IdempotencySettings settings, Moment now) {
		long ageMillis = now.epochMillis() - this.list.publishedAtEpochMillis();
		long receivedMillis = now.monotonicMillis() - this.listReceivedMonotonicMillis;
		return ageMillis < settings.listFreshnessMillis() && ageMillis >= -settings.clockSkewMillis()
				&& receivedMillis < settings.listFreshnessMillis();
	}

	private boolean holdsByHandover(IdempotencySettings settings, Moment now) {
		boolean resignedRecently = this.receivedHandover != null
				&& now.epochMillis() < this.receivedHandover.resignedEpochMillis() + settings.listFreshnessMillis();
		return resignedRecently && isSuccessor();
	}

	private boolean isSuccessor() {
		return this.receivedHandover != null
				&& SeatTable.holderWithout(this.list, this.self.zone(), this.receivedHandover.from())
					.map((instance) -> instance.id().equals(this.self.id()))
					.orElse(false);
	}

	/**
	 * Returns the time after which a key must have been first sent to be granted.
	 * @return the floor in milliseconds since the epoch
	 */
	long floorEpochMillis() {
		boolean byHandover = !this.holding && this.receivedHandover != null;
		return byHandover ? Math.max(this.receivedHandover.floorEpochMillis(), this.resetFloorEpochMillis)
				: this.floorEpochMillis;
	}

	/**
	 * Returns the floor to hand over. If the last list in which this process held the
	 * seat is out of date, an earlier process of the successor may already have held the
	 * seat, and neither this process nor the successor knows its grants.
	 * @param settings clock skew and list freshness
	 * @param now the current time
	 * @return the floor in milliseconds since the epoch, {@link Long#MAX_VALUE} if the
	 * successor must keep its own floor
	 */
	long handoverFloorEpochMillis(IdempotencySettings settings, Moment now) {
		long heldUntilEpochMillis = this.lastHeldPublishedEpochMillis + settings.listFreshnessMillis();
		boolean fresh = now.epochMillis() + 2 * settings.clockSkewMillis() < heldUntilEpochMillis;
		return fresh ? floorEpochMillis() : Long.MAX_VALUE;
	}

	/**
	 * Returns the resignation time to hand over: the earliest in a chain of handovers
	 * that no list has confirmed yet.
	 * @param now the current time
	 * @return the time in milliseconds since the epoch
	 */
	long resignationEpochMillis(Moment now) {
		boolean byHandover = !this.holding && this.receivedHandover != null;
		return byHandover ? Math.min(now.epochMillis(), this.receivedHandover.resignedEpochMillis())
				: now.epochMillis();
	}

	/**
	 * Returns whether there is a seat to hand over.
	 * @return true if this process holds the seat by its list or by a handover, or held
	 * it until the list marked it as leaving
	 */
	boolean hasSeat() {
		return this.holding || this.heldUntilLeaving || this.receivedHandover != null;
	}

	boolean isResigned() {
		return this.resigned;
	}

	/**
	 * Returns whether the list marks this instance as leaving.
	 * @return true if it does
	 */
	boolean listedAsLeaving() {
		return this.listedAsLeaving;
	}

	private boolean isHolder() {
		return SeatTable.holder(this.list, this.self.zone())
			.map((instance) -> instance.id().equals(this.self.id()))
			.orElse(false);
	}

	private Optional<InstanceDescription> ownDescription() {
		return SeatTable.order(this.list, this.self.zone())
			.stream()
			.filter((instance) -> instance.id().equals(this.self.id()))
			.findFirst();
	}

	private record ReceivedHandover(InstanceId from, long resignedEpochMillis, long floorEpochMillis) {
	}

}
