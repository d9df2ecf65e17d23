package io.mulberrylift.daemon.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import ch.qos.logback.classic.LoggerContext;
import io.mulberrylift.core.configuration.ConfigurationProblem;
import io.mulberrylift.daemon.logging.LogSetup;
import io.mulberrylift.daemon.settings.InstanceSettings;
import io.mulberrylift.daemon.settings.InstanceSettingsReader;
import io.mulberrylift.daemon.settings.KeyStoreChecks;
import io.mulberrylift.daemon.settings.SettingsCheck;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs an instance until it is asked to shut down.
 *
 * <p>
 * Not thread-safe.
 * </p>
 */
@Command(name = "serve", description = "Runs an instance until it is asked to shut down.",
		mixinStandardHelpOptions = true, versionProvider = VersionProvider.class)
final class ServeCommand implements Callable<Integer> {

	private final DaemonStarter starter;

	@Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings file of the instance.")
	private Path settingsFile;

	@Spec
	private CommandLine.Model.CommandSpec spec;

	/**
	 * Creates the command.
	 * @param starter runs the instance with its settings
	 */
	ServeCommand(DaemonStarter starter) {
		this.starter = starter;
	}

	@Override
	public Integer call() throws Exception {
		SettingsCheck<InstanceSettings> check = InstanceSettingsReader.read(Files.readString(this.settingsFile));
		if (check instanceof SettingsCheck.Invalid<InstanceSettings> invalid) {
			return reportInvalid(invalid.problems());
		}
		InstanceSettings settings = ((SettingsCheck.Valid<InstanceSettings>) check).value();
		List<ConfigurationProblem> storeProblems = KeyStoreChecks.findProblems(settings);
		return (storeProblems.isEmpty()) ? serve(settings) : reportInvalid(storeProblems);
	}

	private int reportInvalid(List<ConfigurationProblem> problems) {
		FileReports.print(this.spec.commandLine().getErr(), this.settingsFile, problems);
		return ExitCode.INVALID_FILE;
	}

	private int serve(InstanceSettings settings) throws Exception {
		LoggerContext logs = (LoggerContext) LoggerFactory.getILoggerFactory();
		LogSetup.configure(logs, settings.log(), System.out);
		LogSetup.bridgeJdkLogging();
		try {
			this.starter.run(settings);
		}
		finally {
			logs.stop();
		}
		return ExitCode.OK;
	}

}
