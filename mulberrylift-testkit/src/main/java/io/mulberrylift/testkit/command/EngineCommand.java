package io.mulberrylift.testkit.command;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Callable;

import io.mulberrylift.testkit.engine.EngineOptions;
import io.mulberrylift.testkit.engine.EngineServer;
import io.mulberrylift.testkit.engine.EngineSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs a stand-in for a model engine. Not thread-safe.
 */
@Command(name = "engine", description = "Runs a stand-in for a model engine.", mixinStandardHelpOptions = true)
final class EngineCommand implements Callable<Integer> {

	@Spec
	private CommandSpec spec;

	@Mixin
	private CommonOptions common;

	@Option(names = "--zone", required = true, description = "Availability zone of the engine.")
	private String zone;

	@Option(names = "--model", required = true, split = ",", description = "Models that are loaded at startup.")
	private Set<String> models = new LinkedHashSet<>();

	@Option(names = "--memory-tokens", defaultValue = "400000", description = "KV memory in tokens.")
	private long memoryTokens;

	@Option(names = "--max-batch", defaultValue = "64", description = "Maximum number of sequences in a step.")
	private int maxBatch;

	@Option(names = "--prefill-chunk-tokens", defaultValue = "2048",
			description = "Maximum number of prompt tokens in a step.")
	private int prefillChunkTokens;

	@Option(names = "--step-base-micros", defaultValue = "11000",
			description = "Fixed duration of a step in microseconds.")
	private long stepBaseMicros;

	@Option(names = "--prefill-micros-per-token", defaultValue = "95",
			description = "Step time per prompt token in microseconds.")
	private long prefillMicrosPerToken;

	@Option(names = "--decode-micros-per-sequence", defaultValue = "600",
			description = "Step time per decoding sequence in microseconds.")
	private long decodeMicrosPerSequence;

	@Option(names = "--time-scale", defaultValue = "1", description = "Speed relative to real time.")
	private double timeScale;

	@Option(names = "--ignore-fencing", description = "Executes orders with an outdated fencing number.")
	private boolean ignoreFencing;

	@Option(names = "--report-lag-millis", defaultValue = "500",
			description = "Maximum age of a load report in milliseconds.")
	private long reportLagMillis;

	@Option(names = "--cache-lag-millis", defaultValue = "1000",
			description = "Delay of reported cache events in milliseconds.")
	private long cacheLagMillis;

	@Option(names = "--max-queued", defaultValue = "256",
			description = "Number of queued requests at which new ones are refused with 429.")
	private int maxQueued;

	@Override
	public Integer call() throws InterruptedException {
		EngineSettings settings = EngineSettings.midSize()
			.withMemoryTokens(this.memoryTokens)
			.withStepLimits(this.maxBatch, this.prefillChunkTokens)
			.withStepTimes(this.stepBaseMicros, this.prefillMicrosPerToken, this.decodeMicrosPerSequence);
		EngineOptions options = new EngineOptions(this.common.id, this.zone, this.common.port, this.models, settings,
				this.timeScale, !this.ignoreFencing, this.reportLagMillis, this.cacheLagMillis, this.maxQueued);
		EngineServer server = new EngineServer(options, this.common.openHistory());
		server.start();
		this.common.announceAndWait(this.spec.commandLine().getOut(), server.address());
		return 0;
	}

}
