package io.mulberrylift.daemon.caller;

import java.util.Optional;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Tests that {@link OpenCalls} behaves as if each operation happened at one moment,
 * whatever the order in which threads run.
 */
public class OpenCallsConcurrencyTests {

	private static final int MAX_CALLS = 2;

	private static final long MAX_BODY_BYTES = 10;

	private final OpenCalls calls = new OpenCalls(MAX_CALLS, MAX_BODY_BYTES);

	private final OpenCalls.Permit shared = this.calls.tryAcquire().orElseThrow();

	/**
	 * Begins a call.
	 * @return whether there was room
	 */
	@Operation
	public boolean acquire() {
		Optional<OpenCalls.Permit> permit = this.calls.tryAcquire();
		return permit.isPresent();
	}

	/**
	 * Reserves memory for a body shared by the threads.
	 * @return whether there was room
	 */
	@Operation
	public boolean reserve() {
		return this.shared.tryReserve(6);
	}

	/**
	 * Gives the shared permit back.
	 */
	@Operation
	public void release() {
		this.shared.release();
	}

	/**
	 * Reads the numbers.
	 * @return the number of open calls
	 */
	@Operation
	public int count() {
		return this.calls.count();
	}

	@Test
	void operationsAreLinearizable() {
		new ModelCheckingOptions().iterations(20).invocationsPerIteration(300).check(getClass());
	}

}
