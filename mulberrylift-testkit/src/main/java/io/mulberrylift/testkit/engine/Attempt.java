package io.mulberrylift.testkit.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.mulberrylift.testkit.http.Json;
import io.mulberrylift.testkit.http.LineStream;

/**
 * Request that an engine runs, and the stream of its answer.
 *
 * <p>
 * Invariant: tokens with offsets below {@code sentTokens} have been passed to the stream.
 * Each iteration's tokens are a line of their own, however much time passes between two
 * reads of the clock. Not thread-safe; guarded by the runner's lock.
 * </p>
 */
final class Attempt {

	private final long id;

	private final EngineMessages.AttemptBody body;

	private final long promptHash;

	private final int promptTokens;

	private final boolean crashesEngine;

	private final StreamFaults faults;

	private LineStream stream;

	private Optional<String> delayedLine = Optional.empty();

	/** Ends of the iterations whose tokens have not been sent. */
	private final Deque<Integer> iterationEnds = new ArrayDeque<>();

	private int sentTokens;

	private int generated;

	private int cachedTokens;

	private boolean running;

	private boolean ended;

	private boolean cancelled;

	Attempt(long id, EngineMessages.AttemptBody body, boolean crashes, StreamFaults faults) {
		this.id = id;
		this.body = body;
		this.promptHash = AnswerText.promptHash(body.prompt());
		this.promptTokens = AnswerText.promptTokens(body.prompt());
		this.crashesEngine = crashes;
		this.faults = faults;
		this.sentTokens = body.resumeOffset();
		this.generated = body.resumeOffset();
	}

	long id() {
		return this.id;
	}

	String name() {
		return this.body.attempt();
	}

	long promptHash() {
		return this.promptHash;
	}

	boolean crashesEngine() {
		return this.crashesEngine;
	}

	boolean running() {
		return this.running;
	}

	EngineRequest request(Optional<HoldUse> holds) {
		return new EngineRequest(this.id, this.body.priority(), this.promptTokens, answerTokens(),
				this.body.resumeOffset(), EngineMessages.parseBlocks(this.body.prefixBlocks()), holds);
	}

	boolean attached() {
		return this.stream != null;
	}

	void attach(LineStream lineStream) {
		this.stream = lineStream;
	}

	void markRunning() {
		this.running = true;
	}

	void setGenerated(int upTo) {
		this.generated = upTo;
		this.iterationEnds.addLast(upTo);
	}

	void markEnded(int cached) {
		this.cachedTokens = cached;
		this.ended = true;
	}

	void markCancelled() {
		this.cancelled = true;
	}

	/**
	 * Returns the output that has not been sent yet and marks it as sent.
	 * @return the output to send
	 */
	Output drainOutput() {
		int limit = this.generated;
		boolean failed = false;
		if (this.faults.stopAfterTokens() >= 0) {
			int last = this.body.resumeOffset() + this.faults.stopAfterTokens();
			failed = this.generated >= last;
			limit = Math.min(limit, last);
		}
		List<String> lines = new ArrayList<>();
		while (this.sentTokens < limit && !this.iterationEnds.isEmpty()) {
			addTokens(lines, Math.min(limit, this.iterationEnds.removeFirst()));
		}
		Output.Ending ending = ending(failed);
		if (ending == Output.Ending.END) {
			this.delayedLine.ifPresent(lines::add);
			lines.add(failed ? errorLine() : endLine());
		}
		return new Output(Optional.ofNullable(this.stream), lines, ending, failed);
	}

	private Output.Ending ending(boolean failed) {
		if (this.cancelled || (failed && !this.faults.errorLine())) {
			return Output.Ending.ABORT;
		}
		return (failed || this.ended) ? Output.Ending.END : Output.Ending.NONE;
	}

	private String endLine() {
		return Json.write(new EngineMessages.EndLine("end", finishReason(), this.promptTokens, this.cachedTokens,
				answerTokens()));
	}

	private static String errorLine() {
		return Json.write(
				new EngineMessages.ErrorLine("error", "The engine failed due to an injected fault; retry the request"));
	}

	private void addTokens(List<String> lines, int limit) {
		List<String> tokens = new ArrayList<>();
		for (int offset = this.sentTokens; offset < limit; offset++) {
			tokens.add(AnswerText.token(this.body.model(), this.promptHash, offset));
		}
		String line = Json.write(new EngineMessages.TokensLine("tokens", this.sentTokens, tokens));
		this.sentTokens = limit;
		if (this.faults.reorder() && this.delayedLine.isEmpty()) {
			this.delayedLine = Optional.of(line);
			return;
		}
		lines.add(line);
		if (this.faults.duplicate()) {
			lines.add(line);
		}
		this.delayedLine.ifPresent(lines::add);
		this.delayedLine = Optional.empty();
	}

	private int answerTokens() {
		return AnswerText.answerTokens(this.promptHash, this.body.maxOutputTokens());
	}

	private String finishReason() {
		return AnswerText.finishReason(this.promptHash, this.body.maxOutputTokens());
	}

	/**
	 * Pending output of an attempt.
	 *
	 * @param stream the target stream, empty until the response is started
	 * @param lines the lines to send, in order
	 * @param ending the action on the stream after the lines
	 * @param failed whether the attempt fails due to an injected fault
	 */
	record Output(Optional<LineStream> stream, List<String> lines, Ending ending, boolean failed) {

		void send() {
			this.stream.ifPresent((target) -> {
				this.lines.forEach(target::send);
				this.ending.apply(target);
			});
		}

		/**
		 * Action on the stream after the lines.
		 */
		enum Ending {

			NONE {
				@Override
				void apply(LineStream stream) {
				}
			},

			END {
				@Override
				void apply(LineStream stream) {
					stream.end();
				}
			},

			ABORT {
				@Override
				void apply(LineStream stream) {
					stream.abort();
				}
			};

			abstract void apply(LineStream stream);

		}

	}

}
