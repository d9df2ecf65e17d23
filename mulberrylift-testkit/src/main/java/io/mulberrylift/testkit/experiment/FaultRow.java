package io.mulberrylift.testkit.experiment;

import java.util.List;
import java.util.OptionalLong;

import io.mulberrylift.core.scheduling.RoutingPolicy;

/**
 * Figures of one run with a fault.
 *
 * @param shape the fleet
 * @param policy the policy
 * @param fault the fault
 * @param seed seed of the workload
 * @param phases figures before, during and after the fault
 * @param recoverySeconds time from the end of the fault until the short first token p95
 * of a 10 s window is within 1.2 times that before; empty when it never is
 * @param shortFirstTokenP95Millis short first token p95 of each 10 s window
 */
record FaultRow(FleetShape shape, RoutingPolicy policy, ExperimentFault fault, long seed, List<Phase> phases,
		OptionalLong recoverySeconds, List<Double> shortFirstTokenP95Millis) {

	FaultRow {
		phases = List.copyOf(phases);
		shortFirstTokenP95Millis = List.copyOf(shortFirstTokenP95Millis);
	}

	/**
	 * Figures of the requests sent within a phase.
	 *
	 * @param name name of the phase
	 * @param shortFirstTokenP95Millis first token p95 of prompts up to 8,000 tokens
	 * @param longFirstTokenP95Millis first token p95 of prompts above 100,000 tokens
	 * @param answeredShare share answered by the deadline
	 * @param refused refusals on arrival
	 * @param late requests admitted and ended by their deadline
	 * @param failed requests admitted and ended otherwise
	 * @param dispatchesPerRequest dispatches per request that was dispatched at least
	 * once
	 */
	record Phase(String name, double shortFirstTokenP95Millis, double longFirstTokenP95Millis, double answeredShare,
			int refused, int late, int failed, double dispatchesPerRequest) {
	}

}
