package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.mulberrylift.core.gossip.RequestAttribute;

/**
 * The attributes of requests that explain the losses of endpoints.
 *
 * <p>
 * A loss counts against all attributes of all requests that ran on the endpoint. If an
 * attribute has enough losses to be isolated, they do not count against the attributes
 * after it. Attributes that were never answered come first, then those with more losses,
 * then whole requests, which are more specific than parts of prompts. Immutable.
 * </p>
 */
final class CrashCulprits {

	/** Number of unexplained losses from which an attribute is isolated. */
	static final int ISOLATION_THRESHOLD = 3;

	/** Number of unexplained losses from which an attribute is under suspicion. */
	static final int SUSPICION_THRESHOLD = 2;

	/**
	 * Time for which an attribute that was answered before is not isolated yet. The next
	 * answer to one of many requests with it clears it within this time.
	 */
	private static final long ANSWERED_GRACE_MILLIS = 1000;

	private final Map<RequestAttribute, Long> isolatedFromMillis = new HashMap<>();

	private final Set<RequestAttribute> suspected = new HashSet<>();

	/**
	 * Finds the culprits.
	 * @param suspects all attributes with losses
	 * @param answered whether a request with an attribute was ever answered
	 */
	CrashCulprits(Collection<CrashSuspect> suspects, Predicate<RequestAttribute> answered) {
		List<CrashSuspect> ordered = suspects.stream()
			.filter((suspect) -> suspect.losses().size() >= SUSPICION_THRESHOLD)
			.sorted(Comparator.comparing((CrashSuspect suspect) -> answered.test(suspect.attribute()))
				.thenComparing((suspect) -> -suspect.losses().size())
				.thenComparing((suspect) -> suspect.attribute().kind())
				.thenComparing((suspect) -> suspect.attribute().hash()))
			.toList();
		List<EndpointLoss> explained = new ArrayList<>();
		for (CrashSuspect suspect : ordered) {
			List<Long> unexplainedMillis = suspect.losses()
				.stream()
				.filter((loss) -> explained.stream().noneMatch(loss::isSameAs))
				.map(EndpointLoss::millis)
				.sorted()
				.toList();
			boolean wasAnswered = answered.test(suspect.attribute());
			if (unexplainedMillis.size() >= SUSPICION_THRESHOLD && !wasAnswered) {
				this.suspected.add(suspect.attribute());
			}
			if (unexplainedMillis.size() >= ISOLATION_THRESHOLD) {
				this.isolatedFromMillis.put(suspect.attribute(),
						unexplainedMillis.get(ISOLATION_THRESHOLD - 1) + ((wasAnswered) ? ANSWERED_GRACE_MILLIS : 0));
				explained.addAll(suspect.losses());
			}
		}
	}

	/**
	 * Returns from when on an attribute is isolated.
	 * @param attribute the attribute
	 * @return the time, which may be in the future; empty if it is not isolated
	 */
	Optional<Long> isolatedFromMillis(RequestAttribute attribute) {
		return Optional.ofNullable(this.isolatedFromMillis.get(attribute));
	}

	/**
	 * Returns whether an attribute that was never answered is likely to crash endpoints.
	 * @param attribute the attribute
	 * @return true if it is under suspicion
	 */
	boolean isSuspected(RequestAttribute attribute) {
		return this.suspected.contains(attribute);
	}

	/**
	 * Returns the number of isolated attributes.
	 * @param nowMillis the current time
	 * @return the number
	 */
	long isolatedCount(long nowMillis) {
		return this.isolatedFromMillis.values().stream().filter((from) -> from <= nowMillis).count();
	}

}
