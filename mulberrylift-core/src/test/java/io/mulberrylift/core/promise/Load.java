package io.mulberrylift.core.promise;

/**
 * Sends fresh keys at a steady rate, some of them twice at nearly the same time.
 */
final class Load {

	private static final long TIMEOUT_MILLIS = 2_500;

	private static final int SENDS = 4;

	private static final int DOUBLE_SEND_EVERY = 3;

	private static final long MAX_DOUBLE_SEND_DELAY_MILLIS = 400;

	private Load() {
	}

	static void start(VirtualFleet fleet, long durationMillis, long intervalMillis) {
		int number = 0;
		for (long at = 0; at < durationMillis; at += intervalMillis) {
			String key = "key-" + number;
			long fingerprint = 1_000 + number;
			int copies = (number % DOUBLE_SEND_EVERY == 0) ? 2 : 1;
			fleet.time().after(at, () -> send(fleet, key, fingerprint, copies));
			number++;
		}
	}

	private static void send(VirtualFleet fleet, String key, long fingerprint, int copies) {
		long firstSentMillis = fleet.time().nowMillis();
		for (int i = 0; i < copies; i++) {
			VirtualCaller.Work work = new VirtualCaller.Work(key, fingerprint, firstSentMillis, TIMEOUT_MILLIS, SENDS,
					false);
			long delay = (i == 0) ? 0 : fleet.random().nextLong(MAX_DOUBLE_SEND_DELAY_MILLIS);
			fleet.time().after(delay, () -> fleet.caller().send(work));
		}
	}

}
