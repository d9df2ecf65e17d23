package io.mulberrylift.daemon.cli;

import io.mulberrylift.daemon.settings.InstanceSettings;

/**
 * Runs an instance.
 */
@FunctionalInterface
public interface DaemonStarter {

	/**
	 * Starts the instance and returns when it has shut down gracefully.
	 * @param settings its settings
	 * @throws Exception if it cannot start
	 */
	void run(InstanceSettings settings) throws Exception;

}
