package io.mulberrylift.core.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.mulberrylift.core.model.EndpointId;

/**
 * Selects a gang: engines that together hold the memory for a request that exceeds the
 * memory of one engine. A pure function of the loads.
 */
final class GangPlanner {

	/** Maximum number of engines in a gang. */
	static final int MAX_MEMBERS = 4;

	private static final double USABLE_MEMORY_SHARE = 0.9;

	private GangPlanner() {
	}

	/**
	 * Returns whether the request fits into the memory of a single engine.
	 * @param request the request
	 * @param candidates engines that serve it
	 * @return {@code true} if the largest candidate can hold it; always for plain
	 * services
	 */
	static boolean fitsOneEngine(PendingRequest request, List<EndpointLoad> candidates) {
		return largestMemoryTokens(candidates) >= request.spec().totalTokens();
	}

	/**
	 * Returns whether the request fits into the memory of a gang.
	 * @param request the request
	 * @param candidates engines that serve it
	 * @return {@code true} if there are enough candidates for a gang of permitted size
	 */
	static boolean fitsGang(PendingRequest request, List<EndpointLoad> candidates) {
		return memberCount(request, candidates) <= Math.min(MAX_MEMBERS, candidates.size());
	}

	static int memberCount(PendingRequest request, List<EndpointLoad> candidates) {
		double usable = Math.max(1, USABLE_MEMORY_SHARE * largestMemoryTokens(candidates));
		return (int) Math.ceil(request.spec().totalTokens() / usable);
	}

	private static long largestMemoryTokens(List<EndpointLoad> candidates) {
		long largest = 0;
		for (EndpointLoad candidate : candidates) {
			largest = Math.max(largest, candidate.state().description().memoryTokens());
		}
		return largest;
	}

	/**
	 * Selects the members with the smallest prefill backlog among the candidates with
	 * enough free memory; the first that may run the request does so.
	 * @param request the request
	 * @param candidates engines that serve it
	 * @param mayRun selects the engines that may run the request; any engine may hold
	 * memory for it
	 * @param priority priority on the engines
	 * @param nowMonotonicMillis the current time
	 * @return the assignment, empty if too few engines have enough free memory or none of
	 * them may run the request
	 */
	static Optional<Assignment> plan(PendingRequest request, List<EndpointLoad> candidates,
			Predicate<EndpointLoad> mayRun, int priority, long nowMonotonicMillis) {
		int members = memberCount(request, candidates);
		long memberTokens = (request.spec().totalTokens() + members - 1) / members;
		Comparator<EndpointLoad> byBacklog = Comparator
			.comparingLong((candidate) -> candidate.prefillTokens(nowMonotonicMillis));
		List<EndpointLoad> eligible = candidates.stream()
			.filter((candidate) -> candidate.freeMemoryTokens() >= memberTokens)
			.sorted(byBacklog)
			.toList();
		Optional<EndpointLoad> runningEngine = eligible.stream().filter(mayRun).findFirst();
		if (runningEngine.isEmpty() || eligible.size() < members) {
			return Optional.empty();
		}
		List<EndpointId> chosen = Stream
			.concat(runningEngine.stream(), eligible.stream().filter((candidate) -> candidate != runningEngine.get()))
			.limit(members)
			.map((candidate) -> candidate.state().id())
			.toList();
		return Optional.of(new Assignment(request.requestId(), chosen.get(0), chosen, memberTokens, priority));
	}

}
