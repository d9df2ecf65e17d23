package io.mulberrylift.daemon.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

import io.mulberrylift.core.configuration.ConfigurationProblem;

/**
 * Prints the results of file validation.
 */
final class FileReports {

	private FileReports() {
	}

	/**
	 * Prints whether a file is valid, followed by its problems.
	 * @param output writer to print to
	 * @param file path of the file
	 * @param problems all problems found, empty if the file is valid
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
