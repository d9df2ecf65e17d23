package io.mulberrylift.daemon.admin;

/**
 * Provides the state of all parts of the process.
 *
 * <p>
 * Implementations are thread-safe. A call may block until the event loop has handled it.
 * </p>
 */
@FunctionalInterface
public interface StateSource {

	/**
	 * Returns a snapshot of the state.
	 * @return records, maps and lists that can be serialized as JSON
	 */
	Object state();

}
