package io.mulberrylift.daemon.caller;

import java.util.Optional;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Tests that {@link OpenCalls} is linearizable.
 */
public class OpenCallsConcurrencyTests {

	private static final int MAX_CALLS = 2;

	private static final long MAX_BODY_BYTES = 10;

	private final OpenCalls calls = new OpenCalls(MAX_CALLS, MAX_BODY_BYTES);

	private final OpenCalls.Permit shared = this.calls.tryAcquire().orElseThrow();

	/**
	 * Acquires a permit for a new call.
	 * @return whether a permit was available
	 */
	@Operation
	public boolean acquire() {
		Optional<OpenCalls.Permit> permit = this.calls.tryAcquire();
		return permit.isPresent();
	}

	/**
	 * Reserves memory under the permit that the threads share.
	 * @return whether the memory was available
	 */
	@Operation
	public boolean reserve() {
		return this.shared.tryReserve(6);
	}

	/**
	 * Releases the shared permit.
	 */
	@Operation
	public void release() {
		this.shared.release();
	}

	/**
	 * Reads the number of open calls.
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
