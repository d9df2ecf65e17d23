package io.mulberrylift.testkit.placement;

/**
 * Outcome of a simulated prompt.
 *
 * @param kind kind of the prompt
 * @param tokens size of the prompt
 * @param arrivalMillis when it arrived
 * @param served whether its answer was complete before the deadline
 * @param timely whether the answer also met its latency targets
 * @param paused whether a gap of its answer exceeded its target
 * @param expectedFirstTokenMillis predicted time from its placement to its first token; 0
 * if it was refused
 * @param firstTokenMillis actual time; 0 if it was refused
 */
public record PromptOutcome(PromptKind kind, long tokens, double arrivalMillis, boolean served, boolean timely,
		boolean paused, double expectedFirstTokenMillis, double firstTokenMillis) {
}
