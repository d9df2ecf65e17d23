package io.mulberrylift.testkit.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.placement.EngineCostModel;

/**
 * An engine that works in passes, in virtual time.
 *
 * <p>
 * Not safe for use by several threads. A pass with writing requests runs the model's
 * stride of token steps and reads at most its chunk of prompt tokens beside each; a pass
 * without them reads one chunk. Parts of prompts that several engines read go first, the
 * newest of them at the head, then own whole prompts in the order of their admission. A
 * prompt is admitted when a slot and its memory are free. Each pass yields one event of
 * each answer.
 * </p>
 */
final class IterationEngine {

	private final EngineCostModel model;

	private final int slots;

	private final Deque<SimulatedPrompt> waiting = new ArrayDeque<>();

	private final List<SimulatedPrompt> running = new ArrayList<>();

	private final Deque<Part> splitParts = new ArrayDeque<>();

	private final Deque<Part> unsplitPrompts = new ArrayDeque<>();

	private boolean iterating;

	IterationEngine(EngineCostModel model, int slots) {
		this.model = Objects.requireNonNull(model, "model");
		this.slots = slots;
	}

	/**
	 * Queues a prompt whose answer this engine writes.
	 * @param prompt the prompt
	 */
	void enqueue(SimulatedPrompt prompt) {
		this.waiting.addLast(prompt);
		admit();
	}

	/**
	 * Queues a part of a prompt for another engine.
	 * @param prompt the prompt
	 */
	void enqueuePart(SimulatedPrompt prompt) {
		this.splitParts.addFirst(new Part(prompt));
	}

	private void admit() {
		while (!this.waiting.isEmpty() && this.running.size() < this.slots
				&& usedTokens() + this.waiting.peekFirst().memoryTokens() <= this.model.memoryTokens()) {
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
		return this.running.stream().mapToLong(SimulatedPrompt::memoryTokens).sum();
	}

	boolean isIdle() {
		return !this.iterating;
	}

	/**
	 * Begins a pass if there is work.
	 * @return the time that it takes in milliseconds, 0 when there is none
	 */
	double beginIteration() {
		List<SimulatedPrompt> writers = this.running.stream().filter(SimulatedPrompt::isDecoding).toList();
		if (writers.isEmpty() && this.splitParts.isEmpty() && this.unsplitPrompts.isEmpty()) {
			return 0;
		}
		this.iterating = true;
		long context = writers.stream().mapToLong(SimulatedPrompt::memoryTokens).sum();
		double steps = this.model.iterationDecodeMillis(writers.size(), context);
		double roomTokens = (writers.isEmpty()) ? this.model.prefillChunkTokens()
				: this.model.prefillTokensPerIteration();
		return steps + prefill(roomTokens);
	}

	private double prefill(double roomTokens) {
		double left = roomTokens;
		double millis = 0;
		while (left > 0 && !(this.splitParts.isEmpty() && this.unsplitPrompts.isEmpty())) {
			Deque<Part> queue = (this.splitParts.isEmpty()) ? this.unsplitPrompts : this.splitParts;
			Part first = queue.peekFirst();
			double tokens = Math.min(first.leftTokens, left);
			first.leftTokens -= tokens;
			left -= tokens;
			millis += tokens * first.prompt.prefillMillisPerToken();
			if (first.leftTokens <= 0) {
				queue.removeFirst();
				first.prompt.completePart();
			}
		}
		return millis;
	}

	/**
	 * Ends a pass: each answer gets an event, finished ones leave.
	 * @param nowMillis the current time
	 * @return the prompts that have ended
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

		private double leftTokens;

		Part(SimulatedPrompt prompt) {
			this.prompt = prompt;
			this.leftTokens = prompt.partTokens();
		}

	}

}
