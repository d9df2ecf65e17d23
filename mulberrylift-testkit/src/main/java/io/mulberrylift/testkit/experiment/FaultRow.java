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
 * @param shortMillis short first token p95 of each 10 s window
 */
record FaultRow(FleetShape shape, RoutingPolicy policy, ExperimentFault fault, long seed, List<Phase> phases,
		OptionalLong recoverySeconds, List<Double> shortMillis) {

	FaultRow {
		phases = List.copyOf(phases);
		shortMillis = List.copyOf(shortMillis);
	}

	/**
	 * Figures of the requests sent within a phase.
	 *
	 * @param name name of the phase
	 * @param shortMillis first token p95 of prompts up to 8,000 tokens
	 * @param longMillis first token p95 of prompts above 100,000 tokens
	 * @param answeredShare share answered by the deadline
	 * @param refused refusals on arrival
	 * @param late requests admitted and ended by their deadline
	 * @param failed requests admitted and ended otherwise
	 * @param amplification dispatches per request that was dispatched at least once
	 */
	record Phase(String name, double shortMillis, double longMillis, double answeredShare, int refused, int late,
			int failed, double amplification) {
	}

}
