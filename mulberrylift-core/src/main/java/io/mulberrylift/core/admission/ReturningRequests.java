package io.mulberrylift.core.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells requests that were refused before from new ones: by their fingerprint if this
 * instance refused them, otherwise by their deadline, which is earlier than callers of
 * the route usually state.
 *
 * <p>
 * Not thread-safe; owned by the reducer. At most {@value #MAX_REFUSED} refusals are
 * remembered, each for {@value #REFUSED_TTL_MILLIS} ms.
 * </p>
 */
final class ReturningRequests {

	static final int MAX_REFUSED = 20_000;

	static final long REFUSED_TTL_MILLIS = 30_000;

	/** Time after which a usual deadline may have become earlier. */
	private static final long USUAL_TTL_MILLIS = 30_000;

	private static final int MAX_ROUTES = 10_000;

	/** When each refusal was given, by fingerprint, the oldest first. */
	private final Map<Long, Long> refusedMillis = new LinkedHashMap<>();

	private final Map<String, Usual> usualByRoute = new HashMap<>();

	void recordRefused(long fingerprint, long nowMillis) {
		this.refusedMillis.remove(fingerprint);
		this.refusedMillis.put(fingerprint, nowMillis);
		if (this.refusedMillis.size() > MAX_REFUSED) {
			this.refusedMillis.remove(this.refusedMillis.keySet().iterator().next());
		}
	}

	/**
	 * Returns whether a request was probably refused before, and records its deadline.
	 * @param request the request
	 * @param nowMillis the current time
	 * @return true if it comes again
	 */
	boolean isReturning(AdmissionRequest request, long nowMillis) {
		Usual usual = this.usualByRoute.get(request.route());
		if (usual == null || request.remainingMillis() >= usual.millis()
				|| nowMillis - usual.seenMillis() > USUAL_TTL_MILLIS) {
			if (this.usualByRoute.size() >= MAX_ROUTES) {
				this.usualByRoute.clear();
			}
			this.usualByRoute.put(request.route(), new Usual(request.remainingMillis(), nowMillis));
			usual = this.usualByRoute.get(request.route());
		}
		boolean waited = usual.millis() - request.remainingMillis() >= ScarceRoom.MIN_RETURN_MILLIS;
		return waited || this.refusedMillis.containsKey(request.fingerprint());
	}

	void expire(long nowMillis) {
		Iterator<Long> times = this.refusedMillis.values().iterator();
		while (times.hasNext() && nowMillis - times.next() > REFUSED_TTL_MILLIS) {
			times.remove();
		}
	}

	private record Usual(long millis, long seenMillis) {
	}

}
