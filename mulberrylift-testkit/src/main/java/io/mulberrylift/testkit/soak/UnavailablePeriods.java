package io.mulberrylift.testkit.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Periods in which individual instances could not answer because they were suspended or
 * had ended.
 *
 * <p>
 * Safe for use by several threads. Nothing can answer a caller of such an instance in
 * time, so the deadlines of these sends are not checked.
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
