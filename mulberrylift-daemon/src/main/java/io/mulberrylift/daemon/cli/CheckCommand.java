package io.mulberrylift.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import io.mulberrylift.core.configuration.ConfigurationProblem;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Validates configuration and settings files.
 *
 * <p>
 * Not thread-safe.
 * </p>
 */
@Command(name = "check", description = "Validates configuration and settings files.", mixinStandardHelpOptions = true,
		versionProvider = VersionProvider.class)
final class CheckCommand implements Callable<Integer> {

	@Option(names = "--kind", defaultValue = "fleet", paramLabel = "KIND",
			description = "fleet for configurations to publish (the default), instance for settings of an instance.")
	private DocumentKind kind;

	@Parameters(arity = "1..*", paramLabel = "FILE", description = "Files to validate.")
	private List<Path> files;

	@Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public Integer call() throws IOException {
		int exitCode = ExitCode.OK;
		for (Path file : this.files) {
			List<ConfigurationProblem> problems = this.kind.problems(Files.readString(file));
			FileReports.print(this.spec.commandLine().getOut(), file, problems);
			if (!problems.isEmpty()) {
				exitCode = ExitCode.INVALID_FILE;
			}
		}
		return exitCode;
	}

}
