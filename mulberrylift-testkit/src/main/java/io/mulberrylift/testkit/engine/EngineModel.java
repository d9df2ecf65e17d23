package io.mulberrylift.testkit.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * Timing model of a model engine with continuous batching, limited KV memory and a prefix
 * cache.
 *
 * <p>
 * The model has no clock of its own: {@link #advanceTo} moves its time, and all other
 * methods act at the time reached. Each step decodes one token for every sequence whose
 * prefill is done and processes at most one chunk of prompt tokens, by priority and then
 * arrival. The time of a step is
 * {@code base + prefillTokens * prefillTime + decodingSequences * decodeTime}, so the gap
 * between tokens grows with the batch and with prefill in the same step. Waiting requests
 * join the batch between steps, by priority and then arrival; the first one that does not
 * fit the memory keeps the ones behind it waiting, except those that holds back. A
 * request reserves memory for its whole prompt and answer when it joins, so nothing is
 * preempted. {@code docs/ENGINE_MODEL.md} has the details.
 * </p>
 *
 * <p>
 * Invariants: the parts of {@link #memory()} add up to the configured memory, and with no
 * running request, hold or export only idle and free memory is left. The same calls give
 * the same results. Not safe for use by several threads.
 * </p>
 */
public final class EngineModel {

	private static final int PERCENT = 100;

	private final EngineSettings settings;

	private final EngineListener listener;

	private final CacheLog cacheLog;

	private final KvMemory memory;

	private final RequestMemory requestMemory;

	private final Map<Long, Sequence> sequences = new HashMap<>();

	private final TreeSet<Sequence> waiting = new TreeSet<>(Sequence.ORDER);

	private final Batch batch;

	private long nowMicros;

	private long stepEndMicros = Long.MAX_VALUE;

	private long stepDurationMicros;

	private long nextExpiryMicros = Long.MAX_VALUE;

	private long arrivals;

	private long queuedPromptTokens;

	private int waitingWithHold;

	private double slowdownFactor = 1;

	/**
	 * Creates an idle model at time 0.
	 * @param settings speed and size
	 * @param listener receives what happens
	 * @throws NullPointerException if an argument is null
	 */
	public EngineModel(EngineSettings settings, EngineListener listener) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.cacheLog = new CacheLog(settings.cacheLogEvents());
		this.memory = new KvMemory(settings.memoryTokens(), new PrefixCache(this.cacheLog));
		this.requestMemory = new RequestMemory(this.memory, settings.memoryTokens());
		this.batch = new Batch(settings);
	}

	/**
	 * Returns the time reached.
	 * @return time in microseconds
	 */
	public long nowMicros() {
		return this.nowMicros;
	}

	/**
	 * Returns when something happens next without a further call.
	 * @return the time in microseconds, empty while the model is idle
	 */
	public OptionalLong nextEventMicros() {
		long next = Math.min(this.stepEndMicros, this.nextExpiryMicros);
		return (next != Long.MAX_VALUE) ? OptionalLong.of(next) : OptionalLong.empty();
	}

	/**
	 * Runs all steps and expiries up to a time.
	 * @param micros the time; an earlier time than the one reached does nothing
	 */
	public void advanceTo(long micros) {
		while (Math.min(this.stepEndMicros, this.nextExpiryMicros) <= micros) {
			if (this.nextExpiryMicros <= this.stepEndMicros) {
				this.nowMicros = Math.max(this.nowMicros, this.nextExpiryMicros);
				expire();
			}
			else {
				this.nowMicros = this.stepEndMicros;
				endStep();
			}
			beginStepIfIdle();
		}
		this.nowMicros = Math.max(this.nowMicros, micros);
	}

	/**
	 * Adds a request to the waiting queue; an idle engine starts a step with it at once.
	 * @param request the request
	 * @return whether it was taken
	 * @throws NullPointerException if the request is null
	 */
	public SubmitResult submit(EngineRequest request) {
		if (this.sequences.containsKey(request.id())) {
			return SubmitResult.DUPLICATE;
		}
		SubmitResult refusal = this.requestMemory.prepare(request);
		if (refusal != SubmitResult.ACCEPTED) {
			return refusal;
		}
		Sequence sequence = new Sequence(request, ++this.arrivals);
		this.sequences.put(request.id(), sequence);
		this.waiting.add(sequence);
		this.waitingWithHold += sequence.hasHold() ? 1 : 0;
		this.queuedPromptTokens += request.promptTokens();
		updateExpiry();
		beginStepIfIdle();
		return SubmitResult.ACCEPTED;
	}

	/**
	 * Ends a request and frees its memory at once. The current step keeps its length.
	 * @param requestId the request
	 * @return false when it is unknown
	 */
	public boolean cancel(long requestId) {
		Sequence sequence = this.sequences.get(requestId);
		if (sequence == null) {
			return false;
		}
		remove(sequence);
		beginStepIfIdle();
		return true;
	}

	/**
	 * Reserves memory, evicting cached blocks if need be. Holding again renews the
	 * expiry.
	 * @param key the hold
	 * @param tokens how much
	 * @param expiresInMicros time until the engine drops it
	 * @return false when it does not fit
	 */
	public boolean hold(HoldKey key, long tokens, long expiresInMicros) {
		boolean held = this.memory.hold(this.nowMicros, key, tokens, this.nowMicros + expiresInMicros);
		reportEvictions();
		updateExpiry();
		return held;
	}

	/**
	 * Gives reserved memory back, at the end of the request that uses it if there is one.
	 * @param key the hold, which may be unknown
	 */
	public void release(HoldKey key) {
		this.memory.release(key);
		updateExpiry();
		beginStepIfIdle();
	}

	/**
	 * Returns all holds.
	 * @return the holds in the order in which they were taken
	 */
	public Collection<HoldState> holds() {
		return this.memory.listHolds();
	}

	/**
	 * Pins the cached part of a prompt's blocks for another engine.
	 * @param prefixBlocks keys of the prompt's blocks
	 * @param expiresInMicros time until the engine unpins them
	 * @return what is pinned, possibly no block
	 */
	public ExportState export(long[] prefixBlocks, long expiresInMicros) {
		ExportState export = this.memory.export(this.nowMicros, prefixBlocks, this.nowMicros + expiresInMicros);
		updateExpiry();
		return export;
	}

	/**
	 * Returns an export.
	 * @param exportId the export
	 * @return the export, empty when it is gone
	 */
	public Optional<ExportState> findExport(long exportId) {
		return this.memory.findExport(exportId);
	}

	/**
	 * Unpins an export.
	 * @param exportId the export, which may be unknown
	 */
	public void dropExport(long exportId) {
		this.memory.dropExport(exportId);
		updateExpiry();
		beginStepIfIdle();
	}

	/**
	 * Copies blocks into the prefix cache while there is room.
	 * @param prefixBlocks keys of a prompt's blocks
	 * @return number of leading blocks that are now cached
	 */
	public int importBlocks(long[] prefixBlocks) {
		int blocks = this.memory.importBlocks(this.nowMicros, prefixBlocks);
		reportEvictions();
		return blocks;
	}

	/**
	 * Returns how much of a prompt is cached now.
	 * @param prefixBlocks keys of the prompt's blocks
	 * @return number of cached leading blocks
	 */
	public int cachedBlocks(long... prefixBlocks) {
		return this.memory.cache().matchingBlocks(prefixBlocks);
	}

	/**
	 * Returns the net cache events after a number.
	 * @param after number of the last event that the reader knows, 0 for none
	 * @param lagMicros age that an event must have to be reported
	 * @return the events
	 */
	public CacheReport cacheReport(long after, long lagMicros) {
		return this.cacheLog.read(after, this.nowMicros - lagMicros);
	}

	/**
	 * Returns the census of the memory.
	 * @return the census
	 */
	public MemoryUsage memory() {
		return this.memory.usage();
	}

	/**
	 * Returns the numbers of the load report.
	 * @return the load
	 */
	public EngineLoad load() {
		return new EngineLoad(this.batch.size(), this.waiting.size(), this.queuedPromptTokens, memory().usedTokens());
	}

	/**
	 * Multiplies the time of all steps that begin from now on.
	 * @param factor the factor, 1 for normal speed
	 * @throws IllegalArgumentException if the factor is not positive
	 */
	public void setSlowdownFactor(double factor) {
		if (!(factor > 0)) {
			throw new IllegalArgumentException("The factor must be positive; it is " + factor);
		}
		this.slowdownFactor = factor;
	}

	private void beginStepIfIdle() {
		if (this.stepEndMicros != Long.MAX_VALUE) {
			return;
		}
		admit();
		if (this.batch.isEmpty()) {
			return;
		}
		double factor = this.slowdownFactor;
		if (this.memory.hasUnusedHold()) {
			factor *= 1 + (double) this.settings.lendingPercent() / PERCENT;
		}
		this.stepDurationMicros = Math.max(1, Math.round(this.batch.planStep() * factor));
		this.stepEndMicros = this.nowMicros + this.stepDurationMicros;
	}

	private void admit() {
		boolean memoryShort = false;
		Iterator<Sequence> iterator = this.waiting.iterator();
		while (iterator.hasNext() && (!memoryShort || this.waitingWithHold > 0)
				&& this.batch.size() < this.settings.maxBatch()) {
			Sequence next = iterator.next();
			boolean backed = next.hasHold();
			if ((!memoryShort || backed) && this.requestMemory.allocate(this.nowMicros, next)) {
				iterator.remove();
				this.waitingWithHold -= backed ? 1 : 0;
				join(next);
			}
			else {
				memoryShort = true;
			}
		}
	}

	private void join(Sequence sequence) {
		sequence.position = sequence.request().resumeOffset();
		sequence.remainingPrefillTokens = sequence.request().promptTokens() - sequence.cachedTokens + sequence.position;
		this.batch.add(sequence);
		reportEvictions();
		this.queuedPromptTokens += sequence.remainingPrefillTokens - sequence.request().promptTokens();
		this.listener.admitted(this.nowMicros, sequence.request().id(), sequence.cachedTokens);
	}

	private void endStep() {
		this.stepEndMicros = Long.MAX_VALUE;
		int prefillTokens = this.batch.plannedPrefillTokens();
		int decoding = this.batch.decodingSequences();
		for (Sequence sequence : this.batch.snapshot()) {
			if (advance(sequence)) {
				finish(sequence);
			}
		}
		this.listener.stepped(this.nowMicros, this.stepDurationMicros, decoding, prefillTokens);
	}

	private boolean advance(Sequence sequence) {
		if (sequence.plannedPrefillTokens > 0) {
			sequence.remainingPrefillTokens -= sequence.plannedPrefillTokens;
			this.queuedPromptTokens -= sequence.plannedPrefillTokens;
			sequence.plannedPrefillTokens = 0;
			if (sequence.prefilling()) {
				return false;
			}
			this.batch.endPrefill(sequence);
			this.requestMemory.shareBlocks(this.nowMicros, sequence);
		}
		else if (!sequence.decoding) {
			return false;
		}
		int answerTokens = sequence.request().answerTokens();
		if (sequence.position < answerTokens) {
			this.listener.generated(this.nowMicros, sequence.request().id(), sequence.position, 1);
			sequence.position++;
		}
		return sequence.position >= answerTokens;
	}

	private void finish(Sequence sequence) {
		remove(sequence);
		this.listener.ended(this.nowMicros, sequence.request().id(), sequence.cachedTokens,
				sequence.request().answerTokens());
	}

	private void remove(Sequence sequence) {
		EngineRequest request = sequence.request();
		this.sequences.remove(request.id());
		if (this.waiting.remove(sequence)) {
			this.waitingWithHold -= sequence.hasHold() ? 1 : 0;
			this.queuedPromptTokens -= request.promptTokens();
		}
		else {
			this.batch.remove(sequence);
			this.queuedPromptTokens -= sequence.remainingPrefillTokens;
		}
		this.requestMemory.free(sequence);
		updateExpiry();
	}

	private void expire() {
		for (HoldKey key : this.memory.expire(this.nowMicros)) {
			this.listener.holdExpired(this.nowMicros, key);
		}
		updateExpiry();
	}

	private void updateExpiry() {
		this.nextExpiryMicros = this.memory.nextExpiryMicros();
	}

	private void reportEvictions() {
		int blocks = this.memory.drainEvictedBlocks();
		if (blocks > 0) {
			this.listener.evicted(this.nowMicros, blocks);
		}
	}

}
