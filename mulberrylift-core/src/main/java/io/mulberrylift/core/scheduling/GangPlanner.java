package io.mulberrylift.core.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.mulberrylift.core.model.EndpointId;

/**
 * Chooses the engines that lend their memory together to a prompt that is too long for
 * one. A pure function of the loads.
 */
final class GangPlanner {

	/** Greatest number of engines in a gang. */
	static final int MAX_MEMBERS = 4;

	private static final double USABLE_MEMORY_SHARE = 0.9;

	private GangPlanner() {
	}

	/**
	 * Returns whether one engine of the fleet can hold the request.
	 * @param request the request
	 * @param candidates engines that serve it
	 * @return true if so, also for plain services
	 */
	static boolean fitsOneEngine(PendingRequest request, List<EndpointLoad> candidates) {
		return largestMemoryTokens(candidates) >= request.spec().totalTokens();
	}

	/**
	 * Returns whether any gang can hold the request.
	 * @param request the request
	 * @param candidates engines that serve it
	 * @return true if so
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
	 * Chooses the members with the least prompt work ahead among those with enough free
	 * memory; the first of them runs the request.
	 * @param request the request
	 * @param candidates engines that serve it
	 * @param mayRun the engines that may run it; any may lend memory
	 * @param priority priority on the engines
	 * @param nowMonotonicMillis the current time
	 * @return the assignment, empty when too few engines have enough free memory
	 */
	static Optional<Assignment> plan(PendingRequest request, List<EndpointLoad> candidates,
			Predicate<EndpointLoad> mayRun, int priority, long nowMonotonicMillis) {
		int members = memberCount(request, candidates);
		long memberTokens = (request.spec().totalTokens() + members - 1) / members;
		Comparator<EndpointLoad> byBacklog = Comparator
			.comparingLong((candidate) -> candidate.prefillTokens(nowMonotonicMillis));
		List<EndpointLoad> fitting = candidates.stream()
			.filter((candidate) -> candidate.freeMemoryTokens() >= memberTokens)
			.sorted(byBacklog)
			.toList();
		Optional<EndpointLoad> runner = fitting.stream().filter(mayRun).findFirst();
		if (runner.isEmpty() || fitting.size() < members) {
			return Optional.empty();
		}
		List<EndpointId> chosen = Stream
			.concat(runner.stream(), fitting.stream().filter((candidate) -> candidate != runner.get()))
			.limit(members)
			.map((candidate) -> candidate.state().id())
			.toList();
		return Optional.of(new Assignment(request.requestId(), chosen.get(0), chosen, memberTokens, priority));
	}

}
