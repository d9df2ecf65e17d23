package io.mulberrylift.testkit.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.ObjectMapper;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Command that starts a small fleet in separate processes, sends requests through it and
 * prints the answers with their latencies.
 *
 * <p>
 * Used by one thread.
 * </p>
 */
@Command(name = "demo", description = "Runs a small fleet and sends requests through it.",
		mixinStandardHelpOptions = true)
public final class DemoCommand implements Callable<Integer> {

	private static final int SHORT_PROMPT_CHARS = 4_000;

	private static final int LONG_PROMPT_CHARS = 200_000;

	private static final long SETTLE_MILLIS = 500;

	private static final long WITNESS_READY_TIMEOUT_MILLIS = 60_000;

	@Spec
	private CommandSpec spec;

	@Option(names = "--verbose", description = "Also prints the output of all processes.")
	private boolean verbose;

	private final ObjectMapper mapper = new ObjectMapper();

	@Override
	public Integer call() throws IOException {
		PrintWriter out = this.spec.commandLine().getOut();
		Path directory = Files.createTempDirectory("mulberrylift-demo");
		try (FleetProcesses fleet = new FleetProcesses(directory, this::print); DemoCaller caller = new DemoCaller()) {
			start(fleet, out);
			return run(fleet, caller, out) ? 0 : 1;
		}
	}

	private void print(String line) {
		if (this.verbose) {
			this.spec.commandLine().getOut().println(line);
		}
	}

	private void start(FleetProcesses fleet, PrintWriter out) throws IOException {
		fleet.publish(FleetDefaults.configuration());
		List<String> zones = FleetDefaults.ZONES;
		fleet.startEngine("engine-1", zones.get(0), "outlook@1", "--time-scale", "4");
		fleet.startEngine("engine-2", zones.get(1), "outlook@1", "--time-scale", "4");
		fleet.startService("notify-1", zones.get(0), "council-notification");
		fleet.startInstance("entry-1", zones.get(0));
		fleet.startInstance("entry-2", zones.get(1));
		out.println("Started 6 processes: platform, 2 engines (4 times faster than real time), 1 plain service,"
				+ " 2 instances.");
		out.flush();
	}

	private boolean run(FleetProcesses fleet, DemoCaller caller, PrintWriter out) throws IOException {
		String first = fleet.instance("entry-1").callerAddress();
		String second = fleet.instance("entry-2").callerAddress();
		Pauses.sleep(SETTLE_MILLIS);
		boolean successful = print(out, "streamed completion, 1,000 tokens",
				caller.stream(first, body(SHORT_PROMPT_CHARS)));
		successful &= print(out, "streamed completion, 50,000 tokens", caller.stream(second, body(LONG_PROMPT_CHARS)));
		successful &= print(out, "non-streamed chat completion",
				caller.nonStreamed(first, "/v1/chat/completions", chat()));
		successful &= print(out, "repeatable service call",
				caller.service(second, "GET", "status/crew", "ice-briefing", Map.of(), ""));
		out.println("Waiting until the witnesses can grant idempotency keys ...");
		out.flush();
		Map<String, String> key = awaitGrantedKey(caller, first, out);
		successful &= print(out, "same alert with the same key through the other instance",
				caller.service(second, "POST", "alerts", "alert", key, "{\"crew\":2}"));
		int executions = fleet.readEndpoint("notify-1", "/control/executions").path("executions").size();
		out.println("Executions counted by the service: " + executions);
		out.flush();
		return successful;
	}

	private Map<String, String> awaitGrantedKey(DemoCaller caller, String address, PrintWriter out) throws IOException {
		Map<String, String> key = Map.of();
		DemoAnswer answer = null;
		for (long waitedMillis = 0; waitedMillis < WITNESS_READY_TIMEOUT_MILLIS; waitedMillis += SETTLE_MILLIS) {
			key = Map.of("Idempotency-Key", DemoCaller.newKey());
			answer = caller.service(address, "POST", "alerts", "alert", key, "{\"crew\":2}");
			if (answer.isSuccessful()) {
				break;
			}
			Pauses.sleep(SETTLE_MILLIS);
		}
		print(out, "alert, must be executed at most once", answer);
		return key;
	}

	private static boolean print(PrintWriter out, String title, DemoAnswer answer) {
		out.println(title + ": " + answer);
		out.flush();
		return answer.isSuccessful();
	}

	private String body(int promptChars) throws IOException {
		return this.mapper.writeValueAsString(Map.of("model", "outlook", "prompt", "road ".repeat(promptChars / 5),
				"max_tokens", 64, "stream", true));
	}

	private String chat() throws IOException {
		List<Map<String, String>> messages = List.of(Map.of("role", "user", "content", "Is the bridge icy?"));
		return this.mapper.writeValueAsString(Map.of("model", "outlook", "messages", messages, "max_tokens", 32));
	}

}
