package io.mulberrylift.daemon.cli;

import io.mulberrylift.testkit.load.LoadCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IFactory;

/**
 * The top-level command.
 *
 * <p>
 * Not thread-safe.
 * </p>
 */
@Command(name = "mulberrylift", description = "Serves language-model requests with deadlines.",
		mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		subcommands = {
				ServeCommand.class, CheckCommand.class, StateCommand.class, LoadCommand.class, VersionCommand.class },
		exitCodeListHeading = "%nExit codes:%n",
		exitCodeList = { "0:The command succeeded.",
				"1:A failure, such as an unreadable file or an unresponsive process.", "2:The command line is invalid.",
				"3:A file is not valid." })
public final class Mulberrylift implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	/**
	 * Creates the command line with all subcommands.
	 * @param starter runs the instance of the serve command
	 * @return the command line
	 */
	public static CommandLine commandLine(DaemonStarter starter) {
		CommandLine commandLine = new CommandLine(new Mulberrylift(), factory(starter));
		commandLine.setCaseInsensitiveEnumValuesAllowed(true);
		commandLine.setExecutionExceptionHandler((ex, failed, result) -> {
			failed.getErr().println("mulberrylift: " + failed.getCommandName() + " failed: " + ex.getMessage());
			return ExitCode.FAULT;
		});
		return commandLine;
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "Missing command");
	}

	private static IFactory factory(DaemonStarter starter) {
		IFactory fallback = CommandLine.defaultFactory();
		return new IFactory() {

			@Override
			public <K> K create(Class<K> type) throws Exception {
				return (type == ServeCommand.class) ? type.cast(new ServeCommand(starter)) : fallback.create(type);
			}

		};
	}

}
