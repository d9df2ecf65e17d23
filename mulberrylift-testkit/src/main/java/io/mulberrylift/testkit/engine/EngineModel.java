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
 * The model has no clock: {@link #advanceTo} sets its time, and all other methods act at
 * the current model time. Each step decodes one token for every sequence whose prefill is
 * complete and processes at most one chunk of prompt tokens, in order of priority and
 * then arrival. The duration of a step is
 * {@code base + prefillTokens * prefillTime + decodingSequences * decodeTime}, so the gap
 * between tokens increases with the batch size and with prefill in the same step. Waiting
 * requests join the batch between steps, in order of priority and then arrival; the first
 * one that does not fit into memory blocks all later ones except those that use a hold. A
 * request reserves memory for its complete prompt and answer when it joins, so that no
 * request is preempted. See {@code docs/ENGINE_MODEL.md} for details.
 * </p>
 *
 * <p>
 * Invariants: the values of {@link #memory()} add up to the configured memory, and
 * without running requests, holds and exports all memory is idle or free. The model is
 * deterministic. Not thread-safe.
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
	 * @param settings the performance and capacity of the engine
	 * @param listener the listener for model events
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
	 * Returns the current model time.
	 * @return the time in microseconds
	 */
	public long nowMicros() {
		return this.nowMicros;
	}

	/**
	 * Returns the time of the next step end or expiry.
	 * @return the time in microseconds, empty if no event is pending
	 */
	public OptionalLong nextEventMicros() {
		long next = Math.min(this.stepEndMicros, this.nextExpiryMicros);
		return (next != Long.MAX_VALUE) ? OptionalLong.of(next) : OptionalLong.empty();
	}

	/**
	 * Processes all steps and expiries up to the given time.
	 * @param micros the time in microseconds; a time before the current model time has no
	 * effect
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
	 * Adds a request to the waiting queue. An idle engine starts a step immediately.
	 * @param request the request
	 * @return whether the request was accepted, or the reason for its refusal
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
	 * Cancels a request and frees its memory immediately. The duration of the current
	 * step does not change.
	 * @param requestId id of the request
	 * @return false if the request is unknown
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
	 * Creates a hold, evicting cached blocks if necessary, or renews the expiry of an
	 * existing hold.
	 * @param key key of the hold
	 * @param tokens the memory to reserve, in tokens
	 * @param expiresInMicros time until the hold expires, in microseconds
	 * @return false if there is not enough memory
	 */
	public boolean hold(HoldKey key, long tokens, long expiresInMicros) {
		boolean held = this.memory.hold(this.nowMicros, key, tokens, this.nowMicros + expiresInMicros);
		reportEvictions();
		updateExpiry();
		return held;
	}

	/**
	 * Releases a hold immediately, or at the end of the request that uses it.
	 * @param key key of the hold; an unknown key is ignored
	 */
	public void release(HoldKey key) {
		this.memory.release(key);
		updateExpiry();
		beginStepIfIdle();
	}

	/**
	 * Returns all holds.
	 * @return the holds in the order of their creation
	 */
	public Collection<HoldState> holds() {
		return this.memory.listHolds();
	}

	/**
	 * Pins the cached leading blocks of a prompt for another engine.
	 * @param prefixBlocks keys of the prompt's blocks
	 * @param expiresInMicros time until the blocks are unpinned, in microseconds
	 * @return the export, possibly without blocks
	 */
	public ExportState export(long[] prefixBlocks, long expiresInMicros) {
		ExportState export = this.memory.export(this.nowMicros, prefixBlocks, this.nowMicros + expiresInMicros);
		updateExpiry();
		return export;
	}

	/**
	 * Returns the export with the given id.
	 * @param exportId id of the export
	 * @return the export, empty if it does not exist or has expired
	 */
	public Optional<ExportState> findExport(long exportId) {
		return this.memory.findExport(exportId);
	}

	/**
	 * Removes an export and unpins its blocks.
	 * @param exportId id of the export; an unknown id is ignored
	 */
	public void dropExport(long exportId) {
		this.memory.dropExport(exportId);
		updateExpiry();
		beginStepIfIdle();
	}

	/**
	 * Adds the leading blocks of a prompt to the prefix cache as far as memory allows.
	 * @param prefixBlocks keys of the prompt's blocks
	 * @return number of leading blocks that are cached
	 */
	public int importBlocks(long[] prefixBlocks) {
		int blocks = this.memory.importBlocks(this.nowMicros, prefixBlocks);
		reportEvictions();
		return blocks;
	}

	/**
	 * Returns how many leading blocks of a prompt are cached.
	 * @param prefixBlocks keys of the prompt's blocks
	 * @return number of cached leading blocks
	 */
	public int cachedBlocks(long... prefixBlocks) {
		return this.memory.cache().matchingBlocks(prefixBlocks);
	}

	/**
	 * Returns the net cache changes after a sequence number.
	 * @param after sequence number of the last event known to the reader, 0 for none
	 * @param lagMicros minimum age of the reported events, in microseconds
	 * @return the net changes
	 */
	public CacheReport cacheReport(long after, long lagMicros) {
		return this.cacheLog.read(after, this.nowMicros - lagMicros);
	}

	/**
	 * Returns the current memory usage.
	 * @return the memory usage
	 */
	public MemoryUsage memory() {
		return this.memory.usage();
	}

	/**
	 * Returns the current load.
	 * @return the load
	 */
	public EngineLoad load() {
		return new EngineLoad(this.batch.size(), this.waiting.size(), this.queuedPromptTokens, memory().usedTokens());
	}

	/**
	 * Sets the factor by which the duration of all later steps is multiplied.
	 * @param factor the factor, 1 for normal speed
	 * @throws IllegalArgumentException if the factor is not positive
	 */
	public void setSlowdownFactor(double factor) {
		if (!(factor > 0)) {
			throw new IllegalArgumentException("The slowdown factor must be positive but was " + factor);
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
			boolean hasHold = next.hasHold();
			if ((!memoryShort || hasHold) && this.requestMemory.allocate(this.nowMicros, next)) {
				iterator.remove();
				this.waitingWithHold -= hasHold ? 1 : 0;
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
