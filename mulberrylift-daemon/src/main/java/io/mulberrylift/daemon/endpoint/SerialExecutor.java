package io.mulberrylift.daemon.endpoint;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs tasks one at a time in submission order, on the threads that submit them.
 *
 * <p>
 * Safe for use by several threads. Never blocks: a task that is submitted while another
 * one runs is executed by the thread that runs the other one.
 * </p>
 */
final class SerialExecutor {

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	private final AtomicInteger pendingTasks = new AtomicInteger();

	private final Consumer<RuntimeException> onFailure;

	/**
	 * Creates an executor.
	 * @param onFailure receives the exception thrown by a task, must not throw
	 */
	SerialExecutor(Consumer<RuntimeException> onFailure) {
		this.onFailure = onFailure;
	}

	void execute(Runnable task) {
		this.tasks.add(task);
		if (this.pendingTasks.getAndIncrement() > 0) {
			return;
		}
		do {
			runTask(this.tasks.remove());
		}
		while (this.pendingTasks.decrementAndGet() > 0);
	}

	private void runTask(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			this.onFailure.accept(ex);
		}
	}

}
