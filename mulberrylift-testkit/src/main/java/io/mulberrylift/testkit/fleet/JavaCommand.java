package io.mulberrylift.testkit.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the command lines of Java processes.
 */
final class JavaCommand {

	private static final List<String> OPTIONS = List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
			"-Xshare:auto");

	private JavaCommand() {
	}

	/**
	 * Builds the command that runs a class with the class path of this process.
	 * @param mainClass name of the main class
	 * @param arguments its arguments
	 * @return the command and its arguments
	 */
	static List<String> of(String mainClass, List<String> arguments) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(OPTIONS);
		command.add("-cp");
		command.add(System.getProperty("java.class.path"));
		command.add(mainClass);
		command.addAll(arguments);
		return command;
	}

}
