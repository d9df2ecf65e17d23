package io.mulberrylift.core.witness;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import io.mulberrylift.core.hash.Rendezvous;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * Determines which instance holds the witness seat of a zone according to an instance
 * list.
 *
 * <p>
 * A pure function of the list, so that two instances with the same list agree.
 * Thread-safe.
 * </p>
 */
final class SeatTable {

	private static final String SEPARATOR = "\n";

	private static final Comparator<InstanceDescription> BY_LISTING = Comparator
		.comparingLong(InstanceDescription::listedSinceEpochMillis)
		.thenComparing(InstanceDescription::id);

	private SeatTable() {
	}

	/**
	 * Returns the instances of a zone, the longest listed first.
	 * @param list the instance list
	 * @param zone the zone
	 * @return the instances, including those that are leaving; empty if there are none
	 */
	static List<InstanceDescription> order(FleetList list, ZoneId zone) {
		return list.instances().stream().filter((instance) -> instance.zone().equals(zone)).sorted(BY_LISTING).toList();
	}

	/**
	 * Returns the holder of a zone's seat.
	 * @param list the instance list
	 * @param zone the zone
	 * @return the longest listed instance that is not leaving, empty if there is none
	 */
	static Optional<InstanceDescription> holder(FleetList list, ZoneId zone) {
		return order(list, zone).stream().filter((instance) -> !instance.leaving()).findFirst();
	}

	/**
	 * Returns the instance that holds a zone's seat once another one has resigned.
	 * @param list the instance list
	 * @param zone the zone
	 * @param resigned the instance that has resigned
	 * @return the longest listed other instance that is not leaving, empty if there is
	 * none
	 */
	static Optional<InstanceDescription> holderWithout(FleetList list, ZoneId zone, InstanceId resigned) {
		return order(list, zone).stream()
			.filter((instance) -> !instance.leaving() && !instance.id().equals(resigned))
			.findFirst();
	}

	/**
	 * Returns the instance to which a holder hands over its seat.
	 * @param list the instance list
	 * @param zone the zone
	 * @param holder the holder
	 * @return the instance listed next after the holder that is not leaving, empty if
	 * there is none
	 */
	static Optional<InstanceDescription> successor(FleetList list, ZoneId zone, InstanceId holder) {
		return order(list, zone).stream()
			.dropWhile((instance) -> !instance.id().equals(holder))
			.skip(1)
			.filter((instance) -> !instance.leaving())
			.findFirst();
	}

	/**
	 * Returns a hash of the set of seats, by which a seat recognizes claims for another
	 * configuration.
	 * @param seats the zones with a seat
	 * @return the hash, independent of the order of the zones
	 */
	static long electorate(List<ZoneId> seats) {
		String names = seats.stream().map(ZoneId::value).sorted().collect(Collectors.joining(SEPARATOR));
		return Rendezvous.score("seats", names);
	}

}
