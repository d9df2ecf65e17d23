package io.mulberrylift.daemon.fuzz;

/**
 * Code under test that handles external input.
 */
@FunctionalInterface
public interface FuzzTarget {

	/**
	 * Runs the code with one input and checks the result.
	 * @param source provides the input
	 * @throws Exception if the code fails in a way that its contract does not allow
	 */
	void tryInput(FuzzSource source) throws Exception;

}
