package io.mulberrylift.daemon.fuzz;

/**
 * Code that takes input from outside.
 */
@FunctionalInterface
public interface FuzzTarget {

	/**
	 * Gives the code one input and checks what it does with it.
	 * @param source makes the input
	 * @throws Exception if the code fails in another way than its contract says
	 */
	void tryInput(FuzzSource source) throws Exception;

}
