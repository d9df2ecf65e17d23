package io.mulberrylift.daemon.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

import io.mulberrylift.core.configuration.ConfigurationProblem;

/**
 * Prints what is wrong with files.
 */
final class FileReports {

	private FileReports() {
	}

	/**
	 * Prints the verdict on a file.
	 * @param output where it is printed
	 * @param file the file
	 * @param problems all that is wrong with it, empty when it is valid
	 */
	static void print(PrintWriter output, Path file, List<ConfigurationProblem> problems) {
		if (problems.isEmpty()) {
			output.println(file + ": valid");
			return;
		}
		output.println(file + ": not valid, problems: " + problems.size());
		problems.forEach((problem) -> output.println("  " + problem));
	}

}
