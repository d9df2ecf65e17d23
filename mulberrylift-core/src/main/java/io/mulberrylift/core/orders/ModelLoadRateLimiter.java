package io.mulberrylift.core.orders;

import java.util.Optional;
import java.util.OptionalInt;

import io.mulberrylift.core.configuration.OrderSettings;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.time.Moment;

/**
 * Divides the load rate of the weight store among all instances without any
 * communication.
 *
 * <p>
 * Not thread-safe; owned by {@link OrdersPart}. Wall-clock time is divided into slots
 * that are assigned to the listed instances in turn. An instance starts at most one load
 * in each of its slots, and none in the slot in which its process started. Instances with
 * identical lists therefore start at most {@code maxLoadsPerMinute} loads in any minute,
 * even if all of them restart at once. While the lists differ, a slot may have two owners
 * or none.
 * </p>
 */
final class ModelLoadRateLimiter {

	private static final long MILLIS_PER_MINUTE = 60_000;

	/**
	 * Compensates for clock skew and late ticks, which bring the loads of two slots
	 * closer together.
	 */
	private static final long SLOT_MARGIN_MILLIS = 1_500;

	private Optional<Long> processStartEpochMillis = Optional.empty();

	private long nextSlotStartEpochMillis = Long.MAX_VALUE;

	private long lastUsedSlotStartEpochMillis = Long.MIN_VALUE;

	/**
	 * Records the start of the process on the first call; later calls have no effect.
	 * @param now the current time
	 */
	void recordProcessStart(Moment now) {
		if (this.processStartEpochMillis.isEmpty()) {
			this.processStartEpochMillis = Optional.of(now.epochMillis());
		}
	}

	/**
	 * Returns whether the slot found by the last call of {@code planNextSlot} has begun.
	 * @param now the current time
	 * @return true if the slot has begun
	 */
	boolean isSlotDue(Moment now) {
		return now.epochMillis() >= this.nextSlotStartEpochMillis;
	}

	/**
	 * Finds the start of the next slot of an instance.
	 * @param self the instance
	 * @param list the instance list
	 * @param settings the settings with the load rate of the fleet
	 * @param now the current time
	 */
	void planNextSlot(InstanceId self, FleetList list, OrderSettings settings, Moment now) {
		long slotMillis = slotMillis(settings);
		long nextSlot = Math.floorDiv(now.epochMillis(), slotMillis) + 1;
		OptionalInt rank = rank(self, list);
		this.nextSlotStartEpochMillis = (rank.isEmpty()) ? Long.MAX_VALUE
				: (nextSlot + Math.floorMod(rank.getAsInt() - nextSlot, list.instances().size())) * slotMillis;
	}

	/**
	 * Returns whether an instance may start a load now.
	 * @param self the instance
	 * @param list the instance list
	 * @param settings the settings with the load rate of the fleet
	 * @param now the current time
	 * @return true if the current slot belongs to the instance and is unused
	 */
	boolean mayStartLoad(InstanceId self, FleetList list, OrderSettings settings, Moment now) {
		long slotMillis = slotMillis(settings);
		long slot = Math.floorDiv(now.epochMillis(), slotMillis);
		long slotStartEpochMillis = slot * slotMillis;
		return ownsSlot(self, list, slot)
				&& this.processStartEpochMillis.filter((start) -> slotStartEpochMillis >= start).isPresent()
				&& slotStartEpochMillis != this.lastUsedSlotStartEpochMillis;
	}

	/**
	 * Records that a load was started in the current slot.
	 * @param settings the settings with the load rate of the fleet
	 * @param now the current time
	 */
	void recordLoad(OrderSettings settings, Moment now) {
		long slotMillis = slotMillis(settings);
		this.lastUsedSlotStartEpochMillis = Math.floorDiv(now.epochMillis(), slotMillis) * slotMillis;
	}

	private static OptionalInt rank(InstanceId self, FleetList list) {
		boolean listed = list.instances().stream().map(InstanceDescription::id).anyMatch(self::equals);
		long before = list.instances()
			.stream()
			.filter((instance) -> instance.id().value().compareTo(self.value()) < 0)
			.count();
		return (listed) ? OptionalInt.of((int) before) : OptionalInt.empty();
	}

	private static boolean ownsSlot(InstanceId self, FleetList list, long slot) {
		OptionalInt rank = rank(self, list);
		return rank.isPresent() && Math.floorMod(slot, list.instances().size()) == rank.getAsInt();
	}

	private static long slotMillis(OrderSettings settings) {
		double maxLoadsPerMinute = settings.maxLoadsPerMinute();
		double slotsPerMinute = (maxLoadsPerMinute >= 1) ? Math.floor(maxLoadsPerMinute) : maxLoadsPerMinute;
		return (long) Math.ceil((MILLIS_PER_MINUTE + SLOT_MARGIN_MILLIS) / slotsPerMinute);
	}

}
