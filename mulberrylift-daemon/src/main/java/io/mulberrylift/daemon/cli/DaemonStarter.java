package io.mulberrylift.daemon.cli;

import io.mulberrylift.daemon.settings.InstanceSettings;

/**
 * Runs an instance for the command line.
 */
@FunctionalInterface
public interface DaemonStarter {

	/**
	 * Starts an instance and blocks until it has shut down gracefully.
	 * @param settings settings of the instance
	 * @throws Exception if the instance cannot start
	 */
	void run(InstanceSettings settings) throws Exception;

}
