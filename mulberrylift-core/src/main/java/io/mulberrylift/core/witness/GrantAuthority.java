package io.mulberrylift.core.witness;

import java.util.Optional;

import io.mulberrylift.core.configuration.IdempotencySettings;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.time.Moment;

/**
 * Decides whether this process may grant keys for its zone's seat, and which ones.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. Invariants: authority taken
 * from a list ends a freshness period after the platform confirmed that list; a process
 * grants only keys first sent after its floor, and the floor lies beyond every key that a
 * predecessor without a handover could have granted; a process that has resigned never
 * grants again.
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
	 * Records the start of the process at the first event.
	 * @param now the current time
	 */
	void recordStart(Moment now) {
		if (!this.started) {
			this.started = true;
			this.startEpochMillis = now.epochMillis();
		}
	}

	/**
	 * Takes a list that is at least as new as the last one.
	 * @param newList the list
	 * @param settings bounds of clocks and lists
	 * @param now when it arrived
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
	 * Takes the complete memory of a predecessor that has resigned.
	 * @param from the predecessor
	 * @param resignedEpochMillis when it stopped granting
	 * @param floor first time that its memory does not reach, in milliseconds since the
	 * epoch
	 * @param settings bounds of clocks and lists
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
			long inherited = Math.max(this.receivedHandover.floorEpochMillis(), this.resetFloorEpochMillis);
			this.floorEpochMillis = Math.min(this.floorEpochMillis, inherited);
		}
		this.receivedHandover = null;
	}

	/**
	 * Voids what the process knew before it paused.
	 */
	void paused() {
		this.listInvalidated = true;
	}

	/**
	 * Starts the memory anew because the seats or the bounds have changed.
	 * @param widest the larger of the old and the new bounds
	 * @param now the current time
	 */
	void reset(IdempotencySettings widest, Moment now) {
		this.resetFloorEpochMillis = now.epochMillis() + widest.listFreshnessMillis() + 2 * widest.clockSkewMillis();
		this.floorEpochMillis = Math.max(this.floorEpochMillis, this.resetFloorEpochMillis);
	}

	/**
	 * Stops granting for good.
	 */
	void resign() {
		this.resigned = true;
	}

	/**
	 * Returns whether this process may grant keys above its floor now.
	 * @param settings bounds of clocks and lists
	 * @param now the current time
	 * @return true if so
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
		boolean recent = this.receivedHandover != null
				&& now.epochMillis() < this.receivedHandover.resignedEpochMillis() + settings.listFreshnessMillis();
		return recent && isSuccessor();
	}

	private boolean isSuccessor() {
		return this.receivedHandover != null
				&& SeatTable.holderWithout(this.list, this.self.zone(), this.receivedHandover.from())
					.map((instance) -> instance.id().equals(this.self.id()))
					.orElse(false);
	}

	/**
	 * Returns the time that a key's first send must lie after.
	 * @return the floor in milliseconds since the epoch
	 */
	long floorEpochMillis() {
		boolean inherited = !this.holding && this.receivedHandover != null;
		return inherited ? Math.max(this.receivedHandover.floorEpochMillis(), this.resetFloorEpochMillis)
				: this.floorEpochMillis;
	}

	/**
	 * Returns the floor to pass on. A process whose last list with the seat is old may
	 * have been followed already by a former process of the heir, of whose grants neither
	 * it nor the heir knows.
	 * @param settings bounds of clocks and lists
	 * @param now the current time
	 * @return the floor in milliseconds since the epoch, {@link Long#MAX_VALUE} when the
	 * heir must keep its own
	 */
	long handoverFloorEpochMillis(IdempotencySettings settings, Moment now) {
		long heldUntilEpochMillis = this.lastHeldPublishedEpochMillis + settings.listFreshnessMillis();
		boolean fresh = now.epochMillis() + 2 * settings.clockSkewMillis() < heldUntilEpochMillis;
		return fresh ? floorEpochMillis() : Long.MAX_VALUE;
	}

	/**
	 * Returns the time of resignation to pass on: the earliest of a chain of predecessors
	 * that no list has confirmed yet.
	 * @param now the current time
	 * @return the time in milliseconds since the epoch
	 */
	long resignationEpochMillis(Moment now) {
		boolean inherited = !this.holding && this.receivedHandover != null;
		return inherited ? Math.min(now.epochMillis(), this.receivedHandover.resignedEpochMillis()) : now.epochMillis();
	}

	/**
	 * Returns whether there is a seat to hand over.
	 * @return whether this process holds the seat by its list or by a handover, or held
	 * it until the list said that it is leaving
	 */
	boolean hasSeat() {
		return this.holding || this.heldUntilLeaving || this.receivedHandover != null;
	}

	boolean isResigned() {
		return this.resigned;
	}

	/**
	 * Returns whether the list says that this instance is about to be removed.
	 * @return true if so
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
