package io.mulberrylift.testkit.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds command lines of Java processes.
 */
final class JavaCommand {

	private static final List<String> OPTIONS = List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
			"-Xshare:auto");

	private JavaCommand() {
	}

	/**
	 * Returns the command that runs a class with this process's class path.
	 * @param mainClass the class
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
