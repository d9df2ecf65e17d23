package io.mulberrylift.daemon;

import io.mulberrylift.daemon.cli.Mulberrylift;
import io.mulberrylift.daemon.instance.InstanceRunner;

/**
 * Entry point of the command {@code mulberrylift}.
 */
public final class MulberryliftMain {

	private MulberryliftMain() {
	}

	/**
	 * Runs the command line and ends the process with its exit code.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.exit(Mulberrylift.commandLine(new InstanceRunner()).execute(args));
	}

}
