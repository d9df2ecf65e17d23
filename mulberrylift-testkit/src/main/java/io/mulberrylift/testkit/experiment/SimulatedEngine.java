package io.mulberrylift.testkit.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.testkit.engine.EngineListener;
import io.mulberrylift.testkit.engine.EngineLoad;
import io.mulberrylift.testkit.engine.EngineModel;
import io.mulberrylift.testkit.engine.EngineRequest;
import io.mulberrylift.testkit.engine.EngineSettings;
import io.mulberrylift.testkit.engine.SubmitResult;

/**
 * Engine model that is driven by the event queue and publishes its load at a fixed
 * interval.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class SimulatedEngine implements EngineListener {

	private static final long REPORT_INTERVAL_MICROS = 500_000;

	private final EndpointId id;

	private final EventQueue queue;

	private EngineModel model;

	private final Map<Long, AttemptObserver> observers = new HashMap<>();

	private long wakeMicros = Long.MAX_VALUE;

	private LoadReport report;

	private long reportedMicros;

	private long incarnation = 1;

	private boolean down;

	private long processedTokens;

	SimulatedEngine(EndpointId id, EventQueue queue, long firstReportMicros) {
		this.id = id;
		this.queue = queue;
		this.model = new EngineModel(EngineSettings.midSize(), this);
		this.report = snapshot();
		queue.scheduleAt(firstReportMicros, this::publish);
	}

	boolean isDown() {
		return this.down;
	}

	long incarnation() {
		return this.incarnation;
	}

	/**
	 * Ends the process; its running requests and its cache are lost.
	 */
	void crash() {
		this.down = true;
		this.observers.clear();
		this.model = new EngineModel(EngineSettings.midSize(), this);
		this.wakeMicros = Long.MAX_VALUE;
	}

	/**
	 * Starts a new process with an empty cache, which publishes a report immediately.
	 */
	void restart() {
		this.down = false;
		this.incarnation++;
		this.model.advanceTo(this.queue.nowMicros());
		this.report = snapshot();
		this.reportedMicros = this.queue.nowMicros();
	}

	private void publish() {
		this.model.advanceTo(this.queue.nowMicros());
		this.report = snapshot();
		this.reportedMicros = this.queue.nowMicros();
		this.queue.scheduleAfter(REPORT_INTERVAL_MICROS, this::publish);
	}

	private LoadReport snapshot() {
		EngineLoad load = this.model.load();
		return new LoadReport(this.id, this.incarnation, load.runningRequests(), load.queuedRequests(),
				load.queuedPromptTokens(), load.usedMemoryTokens(), false, Set.of(FleetShape.MODEL), "", 0);
	}

	/**
	 * Returns the last published report, with its current age.
	 * @return the report
	 */
	LoadReport report() {
		LoadReport last = this.report;
		long ageMillis = (this.queue.nowMicros() - this.reportedMicros) / 1_000;
		return new LoadReport(last.endpoint(), last.incarnation(), last.runningRequests(), last.queuedRequests(),
				last.queuedPromptTokens(), last.usedMemoryTokens(), last.draining(), last.loadedModels(), last.role(),
				ageMillis);
	}

	/**
	 * Advances the model to the current time and runs an action on it.
	 * @param action the action
	 */
	void apply(Consumer<EngineModel> action) {
		this.model.advanceTo(this.queue.nowMicros());
		action.accept(this.model);
		scheduleWake();
	}

	/**
	 * Submits a request.
	 * @param request the request
	 * @param observer receives the progress of the request
	 * @return whether the engine accepted the request
	 */
	boolean submit(EngineRequest request, AttemptObserver observer) {
		this.observers.put(request.id(), observer);
		SubmitResult[] result = new SubmitResult[1];
		apply((engine) -> result[0] = engine.submit(request));
		if (result[0] != SubmitResult.ACCEPTED) {
			this.observers.remove(request.id());
			return false;
		}
		return true;
	}

	void cancel(long requestId) {
		this.observers.remove(requestId);
		apply((engine) -> engine.cancel(requestId));
	}

	/**
	 * Returns the prompt and answer tokens computed so far, in all incarnations.
	 * @return the number of tokens
	 */
	long processedTokens() {
		return this.processedTokens;
	}

	private void scheduleWake() {
		long next = this.model.nextEventMicros().orElse(Long.MAX_VALUE);
		if (next < this.wakeMicros) {
			this.wakeMicros = next;
			this.queue.scheduleAt(next, () -> wake(next));
		}
	}

	private void wake(long scheduledMicros) {
		if (scheduledMicros == this.wakeMicros) {
			this.wakeMicros = Long.MAX_VALUE;
			this.model.advanceTo(this.queue.nowMicros());
			scheduleWake();
		}
	}

	@Override
	public void stepped(long atMicros, long durationMicros, int decodingSequences, int prefillTokens) {
		this.processedTokens += decodingSequences + prefillTokens;
	}

	@Override
	public void generated(long atMicros, long requestId, int offset, int count) {
		AttemptObserver observer = this.observers.get(requestId);
		if (observer != null) {
			observer.generated(offset + count);
		}
	}

	@Override
	public void ended(long atMicros, long requestId, int cachedTokens, int answerTokens) {
		AttemptObserver observer = this.observers.remove(requestId);
		if (observer != null) {
			observer.ended(cachedTokens, answerTokens);
		}
	}

	/**
	 * Receives the progress of a request on an engine.
	 */
	interface AttemptObserver {

		/**
		 * Called when tokens were generated.
		 * @param position number of tokens generated so far
		 */
		void generated(int position);

		/**
		 * Called when the answer is complete.
		 * @param cachedTokens prompt tokens taken from the cache
		 * @param answerTokens length of the answer in tokens
		 */
		void ended(int cachedTokens, int answerTokens);

	}

}
