package io.mulberrylift.testkit.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.mulberrylift.testkit.http.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Tests for {@link StandIns} that run the commands as processes.
 */
class StandInsTests {

	private static final int HALT_STATUS = 137;

	private static final long WAIT_SECONDS = 60;

	private final List<Process> processes = new ArrayList<>();

	private final TestClient client = new TestClient();

	@TempDir
	private Path directory;

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.processes.forEach(Process::destroyForcibly);
	}

	@Test
	void engineServesAndCrashesOnAMarkedPrompt() throws Exception {
		Path history = this.directory.resolve("history.jsonl");
		String address = start("engine", "--id", "engine-1", "--zone", "zone-1", "--model", "forecast,audit",
				"--history", history.toString());
		assertThat(this.client.get("http://" + address + "/engine/v1/load", Map.of())).contains("forecast", "audit");
		this.client.status("POST", "http://" + address + "/control/crash-on-prompt", "{\"marker\":\"poison\"}");
		String attempt = "{\"attempt\":\"a/1/1\",\"model\":\"audit\",\"prompt\":\"poison\",\"maxOutputTokens\":5}";
		assertThatIOException()
			.isThrownBy(() -> this.client.post("http://" + address + "/engine/v1/attempts", attempt));
		assertThat(exitStatus()).isEqualTo(HALT_STATUS);
		assertThat(Files.readString(history)).contains("\"type\":\"run\"").doesNotContain("run-end");
	}

	@Test
	void serviceAndPlatformServe() throws Exception {
		String service = start("service", "--id", "tickets-1", "--latency-millis", "0");
		assertThat(this.client.post("http://" + service + "/weigh", "{}")).contains("receipt");
		String platform = start("platform", "--id", "platform-1");
		assertThat(this.client.get("http://" + platform + "/instances", Map.of())).contains("\"version\":0");
	}

	@Test
	void missingOptionIsAUsageError() {
		assertThat(new CommandLine(new StandIns()).execute("engine", "--id", "engine-1"))
			.isEqualTo(CommandLine.ExitCode.USAGE);
		assertThat(new CommandLine(new StandIns()).execute()).isEqualTo(CommandLine.ExitCode.USAGE);
	}

	private String start(String... arguments) throws IOException {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx128m", "-cp",
						System.getProperty("java.class.path"), StandIns.class.getName()));
		command.addAll(List.of(arguments));
		Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
		this.processes.add(process);
		BufferedReader output = process.inputReader();
		String[] words = output.readLine().split(" ");
		assertThat(words).hasSize(3).startsWith("listening", arguments[2]);
		return words[2];
	}

	private int exitStatus() throws InterruptedException {
		Process process = this.processes.get(0);
		assertThat(process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		return process.exitValue();
	}

}
