package io.mulberrylift.daemon.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.daemon.settings.InstanceSettings;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the command line.
 */
@UseReporter(QuietReporter.class)
class CommandTests {

	private static final String CONFIG = Path.of("..", "config").toString();

	private static final String FAULTY = """
			{
			  "witnessZones": ["a", "b"],
			  "models": {"outlook": {"maxPromptTokens": "many"}},
			  "profiles": {"alert": {"prioritty": 9}},
			}
			""";

	private final StringWriter output = new StringWriter();

	private final List<InstanceSettings> started = new ArrayList<>();

	@TempDir
	private Path directory;

	@Test
	void checkReportsEveryProblemOfEveryFile() throws IOException {
		Path faulty = Files.writeString(this.directory.resolve("faulty.json"), FAULTY);
		Path broken = Files.writeString(this.directory.resolve("broken.json"), "{\n  \"models\": [}\n");
		Path ranges = Files.writeString(this.directory.resolve("ranges.json"), "{\"witnessZones\": [\"a\", \"a\"]}");
		int exitCode = run("check", CONFIG + "/fleet.json", faulty.toString(), broken.toString(), ranges.toString());
		assertThat(exitCode).isEqualTo(3);
		Approvals.verify(this.output.toString().replace(this.directory.toString(), "DIRECTORY"));
	}

	@Test
	void exitCodesDistinguishInvalidFilesUsageErrorsAndFailures() throws IOException {
		assertThat(run("check", CONFIG + "/fleet.json", CONFIG + "/fleet-timbangan.json")).isZero();
		assertThat(run("check", "--kind", "instance", CONFIG + "/instance.json")).isZero();
		assertThat(run("check", "--kind", "instance", CONFIG + "/fleet.json")).isEqualTo(3);
		assertThat(run("check", this.directory.resolve("absent.json").toString())).isEqualTo(1);
		assertThat(run("check", "--kind", "other", CONFIG + "/fleet.json")).isEqualTo(2);
		assertThat(run("check")).isEqualTo(2);
		assertThat(run()).isEqualTo(2);
		assertThat(run("version")).isZero();
	}

	@Test
	void helpNamesCommandsAndExitCodes() {
		assertThat(run("--help")).isZero();
		Approvals.verify(this.output.toString());
	}

	@Test
	void serveDoesNotStartWithInvalidSettings() {
		assertThat(run("serve", "--settings", CONFIG + "/fleet.json")).isEqualTo(3);
		assertThat(this.started).isEmpty();
		assertThat(this.output.toString()).contains("instanceId is missing");
	}

	@Test
	void serveStartsWithItsSettings() {
		assertThat(run("serve", "--settings", CONFIG + "/instance.json")).isZero();
		assertThat(this.started).extracting(InstanceSettings::instanceId)
			.containsExactly(new InstanceId("regina-hall-1"));
	}

	@Test
	void stateOfAnUnreachableProcessFails() {
		assertThat(run("state", "--address", "127.0.0.1:1")).isEqualTo(1);
		assertThat(this.output.toString()).contains("mulberrylift: state failed");
	}

	private int run(String... arguments) {
		CommandLine commandLine = Mulberrylift.commandLine(this.started::add);
		PrintWriter writer = new PrintWriter(this.output, true);
		return commandLine.setOut(writer).setErr(writer).execute(arguments);
	}

}
