package io.mulberrylift.testkit.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryWriter;
import io.mulberrylift.testkit.http.LineStream;

/**
 * Runs a timing model in scaled real time and sends the generated output.
 *
 * <p>
 * Invariants: the model is accessed only while holding the lock; a single thread sends
 * all output, in the order of generation and without holding the lock. Thread-safe.
 * </p>
 */
final class EngineRunner implements EngineListener {

	private final String endpoint;

	private final HistoryWriter history;

	private final Runnable crash;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final EngineClock clock;

	private final EngineModel model;

	private final Map<Long, Attempt> attempts = new HashMap<>();

	private final Map<String, Attempt> attemptsByName = new HashMap<>();

	private final Set<Attempt> attemptsWithOutput = new LinkedHashSet<>();

	private final Queue<Attempt> disconnectedAttempts = new ConcurrentLinkedQueue<>();

	private final Thread thread;

	private boolean stopped;

	EngineRunner(EngineOptions options, HistoryWriter history, Runnable crash) {
		this.endpoint = options.id();
		this.history = history;
		this.crash = crash;
		this.clock = new EngineClock(options.timeScale(), System::nanoTime);
		this.model = new EngineModel(options.settings(), this);
		this.thread = new Thread(this::run, "engine-" + options.id());
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	void stop() {
		this.lock.lock();
		try {
			this.stopped = true;
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	EngineClock clock() {
		return this.clock;
	}

	/**
	 * Advances the model to the current time and applies a function to it.
	 * @param <T> type of the result
	 * @param function the function to apply
	 * @return the result of the function
	 */
	<T> T apply(Function<EngineModel, T> function) {
		this.lock.lock();
		try {
			this.model.advanceTo(this.clock.micros());
			T result = function.apply(this.model);
			this.changed.signalAll();
			return result;
		}
		finally {
			this.lock.unlock();
		}
	}

	void setFrozen(boolean on) {
		this.lock.lock();
		try {
			this.clock.setFrozen(on);
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	SubmitResult submit(Attempt attempt, Optional<HoldUse> holds) {
		return apply((engine) -> {
			if (this.attemptsByName.containsKey(attempt.name())) {
				return SubmitResult.DUPLICATE;
			}
			this.attempts.put(attempt.id(), attempt);
			this.attemptsByName.put(attempt.name(), attempt);
			SubmitResult result = engine.submit(attempt.request(holds));
			if (result == SubmitResult.ACCEPTED) {
				this.history.write(new HistoryEvent.NewWork(now(), this.endpoint, attempt.name()));
			}
			else {
				removeAttempt(attempt);
			}
			return result;
		});
	}

	void attach(Attempt attempt, LineStream stream) {
		apply((engine) -> {
			attempt.attach(stream);
			return this.attemptsWithOutput.add(attempt);
		});
	}

	void cancel(String name) {
		apply((engine) -> {
			Attempt attempt = this.attemptsByName.get(name);
			if (attempt != null) {
				cancel(attempt);
				attempt.markCancelled();
				this.attemptsWithOutput.add(attempt);
			}
			return attempt;
		});
	}

	/**
	 * Requests that an attempt whose caller has disconnected be cancelled by the runner
	 * thread.
	 * @param attempt the attempt
	 */
	void callerDisconnected(Attempt attempt) {
		this.disconnectedAttempts.add(attempt);
		this.lock.lock();
		try {
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void admitted(long atMicros, long requestId, int cachedTokens) {
		Attempt attempt = this.attempts.get(requestId);
		attempt.markRunning();
		this.history.write(new HistoryEvent.Run(now(), this.endpoint, attempt.name(), attempt.promptHash(), ""));
		if (attempt.crashesEngine()) {
			this.crash.run();
		}
	}

	@Override
	public void generated(long atMicros, long requestId, int offset, int count) {
		Attempt attempt = this.attempts.get(requestId);
		attempt.setGenerated(offset + count);
		this.attemptsWithOutput.add(attempt);
	}

	@Override
	public void ended(long atMicros, long requestId, int cachedTokens, int answerTokens) {
		Attempt attempt = this.attempts.get(requestId);
		attempt.markEnded(cachedTokens);
		this.attemptsWithOutput.add(attempt);
		removeAttempt(attempt);
		this.history.write(new HistoryEvent.RunEnd(now(), this.endpoint, attempt.name(), true));
	}

	@Override
	public void holdExpired(long atMicros, HoldKey key) {
		this.history.write(new HistoryEvent.Release(now(), this.endpoint, key.owner(), key.ownerIncarnation(),
				key.holdId(), true));
	}

	private void run() {
		boolean running = true;
		while (running) {
			List<Attempt.Output> outputs = new ArrayList<>();
			this.lock.lock();
			try {
				awaitWork();
				this.model.advanceTo(this.clock.micros());
				cancelDisconnected();
				drainOutputs(outputs);
				running = !this.stopped;
			}
			catch (InterruptedException ex) {
				running = false;
			}
			finally {
				this.lock.unlock();
			}
			outputs.forEach(Attempt.Output::send);
		}
	}

	private void awaitWork() throws InterruptedException {
		if (this.stopped || !this.disconnectedAttempts.isEmpty()
				|| (!this.attemptsWithOutput.isEmpty() && !this.clock.frozen())) {
			return;
		}
		OptionalLong next = this.model.nextEventMicros();
		if (next.isEmpty() || this.clock.frozen()) {
			this.changed.await();
		}
		else {
			this.changed.awaitNanos(this.clock.toRealNanos(next.getAsLong() - this.clock.micros()));
		}
	}

	private void cancelDisconnected() {
		Attempt attempt = this.disconnectedAttempts.poll();
		while (attempt != null) {
			cancel(attempt);
			attempt = this.disconnectedAttempts.poll();
		}
	}

	private void drainOutputs(List<Attempt.Output> outputs) {
		if (this.clock.frozen()) {
			return;
		}
		for (Attempt attempt : this.attemptsWithOutput) {
			if (attempt.attached()) {
				Attempt.Output output = attempt.drainOutput();
				outputs.add(output);
				if (output.failed()) {
					cancel(attempt);
				}
			}
		}
		this.attemptsWithOutput.clear();
	}

	private void cancel(Attempt attempt) {
		if (!this.attempts.containsKey(attempt.id())) {
			return;
		}
		this.model.cancel(attempt.id());
		removeAttempt(attempt);
		if (attempt.running()) {
			this.history.write(new HistoryEvent.RunEnd(now(), this.endpoint, attempt.name(), false));
		}
	}

	private void removeAttempt(Attempt attempt) {
		this.attempts.remove(attempt.id());
		this.attemptsByName.remove(attempt.name());
	}

	private static long now() {
		return System.currentTimeMillis();
	}

}
