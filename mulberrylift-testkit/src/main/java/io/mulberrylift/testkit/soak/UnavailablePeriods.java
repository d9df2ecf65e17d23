package io.mulberrylift.testkit.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Times in which single instances could not answer because they were frozen or ended.
 *
 * <p>
 * Safe for use by several threads. A caller of such an instance cannot be answered in
 * time by anyone; its send is not judged by its deadline.
 * </p>
 */
final class UnavailablePeriods {

	private final List<Period> periods = new ArrayList<>();

	synchronized void add(String address, long fromEpochMillis, long toEpochMillis) {
		this.periods.add(new Period(address, fromEpochMillis, toEpochMillis));
	}

	synchronized boolean overlaps(String address, long fromEpochMillis, long toEpochMillis) {
		return this.periods.stream()
			.anyMatch((period) -> period.address().equals(address) && period.fromEpochMillis() <= toEpochMillis
					&& period.toEpochMillis() >= fromEpochMillis);
	}

	private record Period(String address, long fromEpochMillis, long toEpochMillis) {
	}

}
