package io.mulberrylift.core.promise;

/**
 * Sends requests with new keys at a constant rate, some of them twice at nearly the same
 * time and some again seconds later.
 */
final class VirtualLoad {

	private static final long TIMEOUT_MILLIS = 2_500;

	private static final int SENDS = 4;

	private static final int DUPLICATE_SEND_EVERY = 3;

	private static final int LATE_SEND_EVERY = 4;

	private static final long MIN_LATE_SEND_DELAY_MILLIS = 1_000;

	private static final long MAX_LATE_SEND_DELAY_MILLIS = 10_000;

	private static final long MAX_DUPLICATE_SEND_DELAY_MILLIS = 400;

	private VirtualLoad() {
	}

	static void start(VirtualFleet fleet, long durationMillis, long intervalMillis) {
		int number = 0;
		for (long at = 0; at < durationMillis; at += intervalMillis) {
			String key = "key-" + number;
			long fingerprint = 1_000 + number;
			int copies = (number % DUPLICATE_SEND_EVERY == 0) ? 2 : 1;
			boolean late = number % LATE_SEND_EVERY == 0;
			fleet.time().schedule(at, () -> send(fleet, key, fingerprint, copies, late));
			number++;
		}
	}

	private static void send(VirtualFleet fleet, String key, long fingerprint, int copies, boolean late) {
		VirtualCaller.Work work = new VirtualCaller.Work(key, fingerprint, fleet.time().nowMillis(), TIMEOUT_MILLIS,
				SENDS, false);
		if (late) {
			long delay = fleet.random().nextLong(MIN_LATE_SEND_DELAY_MILLIS, MAX_LATE_SEND_DELAY_MILLIS);
			fleet.time().schedule(delay, () -> fleet.caller().send(work));
		}
		for (int i = 0; i < copies; i++) {
			long delay = (i == 0) ? 0 : fleet.random().nextLong(MAX_DUPLICATE_SEND_DELAY_MILLIS);
			fleet.time().schedule(delay, () -> fleet.caller().send(work));
		}
	}

}
