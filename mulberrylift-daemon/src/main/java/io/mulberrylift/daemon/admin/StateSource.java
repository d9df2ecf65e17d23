package io.mulberrylift.daemon.admin;

/**
 * Gives the state of every part of the process.
 *
 * <p>
 * Implementations are safe for use by several threads; a call may wait for the event
 * loop.
 * </p>
 */
@FunctionalInterface
public interface StateSource {

	/**
	 * Returns a copy of the state.
	 * @return records, maps and lists that are written as JSON
	 */
	Object state();

}
