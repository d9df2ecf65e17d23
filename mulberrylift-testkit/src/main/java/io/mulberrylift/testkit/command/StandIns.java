package io.mulberrylift.testkit.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import io.mulberrylift.testkit.experiment.ExperimentCommand;
import io.mulberrylift.testkit.fleet.DemoCommand;
import io.mulberrylift.testkit.load.LoadCommand;
import io.mulberrylift.testkit.placement.PlacementCommand;
import io.mulberrylift.testkit.soak.SoakCommand;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Runs stand-ins for external systems, and the tools that use them, as processes. Each
 * stand-in prints {@code listening <id> <host:port>} when it is ready and runs until it
 * is terminated.
 *
 * <p>
 * Stateless. Not thread-safe.
 * </p>
 */
@Command(name = "standins", description = "Runs stand-ins for the platform and the endpoints, and tools that use them.",
		mixinStandardHelpOptions = true,
		subcommands = { EngineCommand.class, ServiceCommand.class, PlatformCommand.class, DemoCommand.class,
				LoadCommand.class, SoakCommand.class, ExperimentCommand.class, PlacementCommand.class,
				HelpCommand.class })
public final class StandIns implements Runnable {

	@Spec
	private CommandSpec spec;

	/**
	 * Runs the command and exits with its exit code.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		if (LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
			root.setLevel(Level.WARN);
		}
		System.exit(new CommandLine(new StandIns()).execute(args));
	}

	@Override
	public void run() {
		throw new ParameterException(this.spec.commandLine(),
				"Missing command; expected a stand-in such as engine, service or platform");
	}

}
