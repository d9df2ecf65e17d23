package io.mulberrylift.testkit.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.placement.EngineCostModel;

/**
 * Simulated engine that works in iterations, in virtual time.
 *
 * <p>
 * Not safe for use by several threads. An iteration with decoding requests runs the token
 * steps of the model's stride and prefills at most one chunk of prompt tokens along with
 * each step; an iteration without them prefills one chunk. Parts of prompts that are
 * split across several engines are prefilled first, the newest part at the head, then
 * unsplit prompts in the order of their admission. A prompt is admitted when a slot and
 * its memory are free. Each iteration yields one event of each answer.
 * </p>
 */
final class IterationEngine {

	private final EngineCostModel model;

	private final int slots;

	private final Deque<SimulatedPrompt> waiting = new ArrayDeque<>();

	private final List<SimulatedPrompt> running = new ArrayList<>();

	private final Deque<Part> splitParts = new ArrayDeque<>();

	private final Deque<Part> unsplitPrompts = new ArrayDeque<>();

	private long reservedTokens;

	private boolean iterating;

	IterationEngine(EngineCostModel model, int slots) {
		this.model = Objects.requireNonNull(model, "model");
		this.slots = slots;
	}

	/**
	 * Enqueues a prompt whose answer this engine generates.
	 * @param prompt the prompt
	 */
	void enqueue(SimulatedPrompt prompt) {
		this.waiting.addLast(prompt);
		admit();
	}

	/**
	 * Enqueues a part of a prompt whose answer another engine generates.
	 * @param prompt the prompt
	 */
	void enqueuePart(SimulatedPrompt prompt) {
		this.splitParts.addFirst(new Part(prompt));
	}

	/**
	 * Reserves memory for a part of a prompt that is larger than an engine's memory.
	 * @param tokens size of the part
	 * @return false if the memory is not free
	 */
	boolean reserve(long tokens) {
		if (usedTokens() + tokens > this.model.memoryTokens()) {
			return false;
		}
		this.reservedTokens += tokens;
		return true;
	}

	void release(long tokens) {
		this.reservedTokens -= tokens;
		admit();
	}

	private void admit() {
		while (!this.waiting.isEmpty() && this.running.size() < this.slots
				&& usedTokens() + this.waiting.peekFirst().unreservedTokens() <= this.model.memoryTokens()) {
			SimulatedPrompt prompt = this.waiting.removeFirst();
			this.running.add(prompt);
			if (prompt.isSplit()) {
				this.splitParts.addFirst(new Part(prompt));
			}
			else {
				this.unsplitPrompts.addLast(new Part(prompt));
			}
		}
	}

	private long usedTokens() {
		return this.reservedTokens + this.running.stream().mapToLong(SimulatedPrompt::unreservedTokens).sum();
	}

	boolean isIdle() {
		return !this.iterating;
	}

	/**
	 * Begins an iteration if there is work.
	 * @return duration of the iteration in milliseconds, 0 if there is no work
	 */
	double beginIteration() {
		List<SimulatedPrompt> decoding = this.running.stream().filter(SimulatedPrompt::isDecoding).toList();
		if (decoding.isEmpty() && this.splitParts.isEmpty() && this.unsplitPrompts.isEmpty()) {
			return 0;
		}
		this.iterating = true;
		long contextTokens = decoding.stream().mapToLong(SimulatedPrompt::memoryTokens).sum();
		double decodeMillis = this.model.iterationDecodeMillis(decoding.size(), contextTokens);
		double budgetTokens = (decoding.isEmpty()) ? this.model.prefillChunkTokens()
				: this.model.prefillTokensPerIteration();
		return decodeMillis + prefill(budgetTokens);
	}

	private double prefill(double budgetTokens) {
		double unusedBudgetTokens = budgetTokens;
		double millis = 0;
		while (unusedBudgetTokens > 0 && !(this.splitParts.isEmpty() && this.unsplitPrompts.isEmpty())) {
			Deque<Part> queue = (this.splitParts.isEmpty()) ? this.unsplitPrompts : this.splitParts;
			Part first = queue.peekFirst();
			double tokens = Math.min(first.remainingTokens, unusedBudgetTokens);
			first.remainingTokens -= tokens;
			unusedBudgetTokens -= tokens;
			millis += tokens * first.prompt.prefillMillisPerToken();
			if (first.remainingTokens <= 0) {
				queue.removeFirst();
				first.prompt.completePart();
			}
		}
		return millis;
	}

	/**
	 * Ends an iteration: each answer emits an event, and complete ones are removed.
	 * @param nowMillis the current time
	 * @return the prompts whose answers are complete
	 */
	List<SimulatedPrompt> endIteration(double nowMillis) {
		this.iterating = false;
		List<SimulatedPrompt> ended = new ArrayList<>();
		for (Iterator<SimulatedPrompt> each = this.running.iterator(); each.hasNext();) {
			SimulatedPrompt prompt = each.next();
			if (prompt.emitEvent(nowMillis)) {
				each.remove();
				ended.add(prompt);
			}
		}
		admit();
		return ended;
	}

	private static final class Part {

		private final SimulatedPrompt prompt;

		private double remainingTokens;

		Part(SimulatedPrompt prompt) {
			this.prompt = prompt;
			this.remainingTokens = prompt.partTokens();
		}

	}

}
