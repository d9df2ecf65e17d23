package io.mulberrylift.daemon.endpoint;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs tasks one at a time in the order of their submission, on the threads that submit
 * them.
 *
 * <p>
 * Safe for use by several threads. Never blocks: a task that is submitted while another
 * one runs is left to the thread that runs the other one.
 * </p>
 */
final class SerialExecutor {

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	private final AtomicInteger outstanding = new AtomicInteger();

	private final Consumer<RuntimeException> onFailure;

	/**
	 * Creates a runner.
	 * @param onFailure takes the exception of a task, must not throw
	 */
	SerialExecutor(Consumer<RuntimeException> onFailure) {
		this.onFailure = onFailure;
	}

	void execute(Runnable task) {
		this.tasks.add(task);
		if (this.outstanding.getAndIncrement() > 0) {
			return;
		}
		do {
			runOne(this.tasks.remove());
		}
		while (this.outstanding.decrementAndGet() > 0);
	}

	private void runOne(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			this.onFailure.accept(ex);
		}
	}

}
