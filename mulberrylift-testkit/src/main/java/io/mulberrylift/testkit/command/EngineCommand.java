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
 * Runs a model engine. Used by one thread.
 */
@Command(name = "engine", description = "Runs a model engine.", mixinStandardHelpOptions = true)
final class EngineCommand implements Callable<Integer> {

	@Spec
	private CommandSpec spec;

	@Mixin
	private CommonOptions common;

	@Option(names = "--zone", required = true, description = "Availability zone of the engine.")
	private String zone;

	@Option(names = "--model", required = true, split = ",", description = "Models in memory at the start.")
	private Set<String> models = new LinkedHashSet<>();

	@Option(names = "--memory-tokens", defaultValue = "400000", description = "KV memory in tokens.")
	private long memoryTokens;

	@Option(names = "--max-batch", defaultValue = "64", description = "Greatest number of sequences in a step.")
	private int maxBatch;

	@Option(names = "--prefill-chunk-tokens", defaultValue = "2048",
			description = "Greatest number of prompt tokens in a step.")
	private int prefillChunkTokens;

	@Option(names = "--step-base-micros", defaultValue = "11000", description = "Fixed part of a step's time.")
	private long stepBaseMicros;

	@Option(names = "--prefill-micros-per-token", defaultValue = "95", description = "Time per prompt token.")
	private long prefillMicrosPerToken;

	@Option(names = "--decode-micros-per-sequence", defaultValue = "600",
			description = "Time per decoding sequence of a step.")
	private long decodeMicrosPerSequence;

	@Option(names = "--time-scale", defaultValue = "1", description = "How many times faster than real time.")
	private double timeScale;

	@Option(names = "--ignore-fencing", description = "Obeys orders with an old fencing number.")
	private boolean ignoreFencing;

	@Option(names = "--report-lag-millis", defaultValue = "500", description = "Greatest age of a load report.")
	private long reportLagMillis;

	@Option(names = "--cache-lag-millis", defaultValue = "1000", description = "Age of reported cache events.")
	private long cacheLagMillis;

	@Option(names = "--max-queued", defaultValue = "256", description = "Waiting requests before 429.")
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
