package io.mulberrylift.testkit.placement;

/**
 * Outcome of a simulated prompt.
 *
 * @param kind kind of the prompt
 * @param tokens size of the prompt
 * @param served whether its answer was complete before the deadline
 * @param timely whether the answer also met its latency targets
 */
public record PromptOutcome(PromptKind kind, long tokens, boolean served, boolean timely) {
}
