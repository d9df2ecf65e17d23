package io.mulberrylift.daemon.fuzz;

/**
 * Runs one fuzz target with a sequence of inputs.
 *
 * <p>
 * Must be run by a single thread; the number of inputs may be read by other threads.
 * </p>
 */
public final class FuzzRun {

	private static final long SEED_STEP = 0x9E37_79B9_7F4A_7C15L;

	private final String name;

	private final FuzzTarget target;

	private final long seed;

	private volatile long inputs;

	/**
	 * Creates a run.
	 * @param name name of the target
	 * @param target the target
	 * @param seed seed of the run
	 */
	public FuzzRun(String name, FuzzTarget target, long seed) {
		this.name = name;
		this.target = target;
		this.seed = seed;
	}

	/**
	 * Runs the target with the next input.
	 * @throws AssertionError if the target fails; the message contains the number of the
	 * input and the seed of the run
	 */
	public void tryNext() {
		long inputSeed = this.seed + this.inputs * SEED_STEP;
		try {
			this.target.tryInput(new FuzzSource(inputSeed));
		}
		catch (Throwable ex) {
			throw new AssertionError(this.name + " failed at input " + this.inputs + " of seed " + this.seed, ex);
		}
		this.inputs++;
	}

	/**
	 * Returns the number of inputs that completed without a failure.
	 * @return the number of inputs
	 */
	public long inputs() {
		return this.inputs;
	}

	/**
	 * Returns the name of the target.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

}
