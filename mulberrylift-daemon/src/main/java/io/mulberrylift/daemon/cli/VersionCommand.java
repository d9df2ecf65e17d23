package io.mulberrylift.daemon.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Spec;

/**
 * Prints the version.
 *
 * <p>
 * Not thread-safe.
 * </p>
 */
@Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true,
		versionProvider = VersionProvider.class)
final class VersionCommand implements Callable<Integer> {

	@Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public Integer call() {
		this.spec.commandLine().printVersionHelp(this.spec.commandLine().getOut());
		return ExitCode.OK;
	}

}
