package io.mulberrylift.testkit.experiment;

import java.util.List;
import java.util.OptionalLong;

import io.mulberrylift.core.scheduling.RoutingPolicy;

/**
 * Results of one run with a fault.
 *
 * @param shape the fleet
 * @param policy the policy
 * @param fault the fault
 * @param seed seed of the workload
 * @param phases results before, during and after the fault
 * @param recoverySeconds time from the end of the fault until the 95th percentile of the
 * time to first token of short prompts in a 10 s window is at most 1.2 times the value
 * before the fault; empty if that is never the case
 * @param shortFirstTokenP95Millis 95th percentile of the time to first token of short
 * prompts in each 10 s window
 */
record FaultRow(FleetShape shape, RoutingPolicy policy, ExperimentFault fault, long seed, List<Phase> phases,
		OptionalLong recoverySeconds, List<Double> shortFirstTokenP95Millis) {

	FaultRow {
		phases = List.copyOf(phases);
		shortFirstTokenP95Millis = List.copyOf(shortFirstTokenP95Millis);
	}

	/**
	 * Results of the requests sent within a phase.
	 *
	 * @param name name of the phase
	 * @param shortFirstTokenP95Millis 95th percentile of the time to first token of
	 * prompts up to 8,000 tokens
	 * @param longFirstTokenP95Millis 95th percentile of the time to first token of
	 * prompts above 100,000 tokens
	 * @param answeredShare share of requests answered by their deadline
	 * @param refused requests refused on arrival
	 * @param late requests admitted but ended by their deadline
	 * @param failed requests admitted but ended for another reason
	 * @param dispatchesPerRequest mean number of dispatches of the requests dispatched at
	 * least once
	 */
	record Phase(String name, double shortFirstTokenP95Millis, double longFirstTokenP95Millis, double answeredShare,
			int refused, int late, int failed, double dispatchesPerRequest) {
	}

}
