package io.mulberrylift.testkit.load;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import io.mulberrylift.testkit.history.HistoryWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Command that sends load to instances running on this machine and prints the results.
 *
 * <p>
 * Used by one thread.
 * </p>
 */
@Command(name = "load", description = "Sends load to instances on the loopback address and prints the results.",
		mixinStandardHelpOptions = true)
public final class LoadCommand implements Callable<Integer> {

	private static final String LOOPBACK = "127.";

	private static final long MILLIS_PER_SECOND = 1_000;

	@Spec
	private CommandSpec spec;

	@Option(names = "--address", required = true, split = ",",
			description = "Caller addresses of the instances, as 127.0.0.1:PORT.")
	private List<String> addresses;

	@Option(names = "--rate", defaultValue = "20", description = "Requests per second.")
	private double ratePerSecond;

	@Option(names = "--seconds", defaultValue = "10", description = "Time in seconds during which requests are sent.")
	private long seconds;

	@Option(names = "--seed", defaultValue = "1", description = "Seed of the arrival times and prompts.")
	private long seed;

	@Option(names = "--model", defaultValue = "outlook", description = "Model that prompts are sent to.")
	private String model;

	@Option(names = "--service", defaultValue = "council-notification", description = "Plain service to call.")
	private String service;

	@Option(names = "--workspace", split = ",", defaultValue = "highways",
			description = "Workspaces that requests are sent for.")
	private List<String> workspaces;

	@Option(names = "--long-prompt-tokens", defaultValue = "200000", description = "Maximum prompt length in tokens.")
	private int longPromptTokens;

	@Option(names = "--history", description = "File that the events seen by callers are appended to, as JSON lines.")
	private Path historyFile;

	@Override
	public Integer call() throws Exception {
		if (!this.addresses.stream().allMatch((address) -> address.startsWith(LOOPBACK))) {
			throw new ParameterException(this.spec.commandLine(), "Load may be sent to addresses in 127.0.0.0/8 only");
		}
		LoadPlan plan = new LoadPlan(this.seed, this.ratePerSecond, this.seconds * MILLIS_PER_SECOND, this.model,
				this.service, this.workspaces, this.longPromptTokens);
		try (HistoryWriter history = (this.historyFile != null) ? HistoryWriter.appendTo(this.historyFile)
				: HistoryWriter.none()) {
			LoadStatistics statistics = new LoadGenerator(plan, () -> this.addresses, history).run();
			PrintWriter out = this.spec.commandLine().getOut();
			out.print(statistics.table());
			out.flush();
		}
		return 0;
	}

}
