package io.mulberrylift.testkit.command;

import java.util.concurrent.Callable;

import io.mulberrylift.testkit.service.PlainServiceServer;
import io.mulberrylift.testkit.service.ServiceOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs a stand-in for a plain service. Not thread-safe.
 */
@Command(name = "service", description = "Runs a stand-in for a plain service.", mixinStandardHelpOptions = true)
final class ServiceCommand implements Callable<Integer> {

	@Spec
	private CommandSpec spec;

	@Mixin
	private CommonOptions common;

	@Option(names = "--latency-millis", defaultValue = "20", description = "Duration of a call in milliseconds.")
	private long latencyMillis;

	@Option(names = "--report-lag-millis", defaultValue = "500",
			description = "Maximum age of a load report in milliseconds.")
	private long reportLagMillis;

	@Override
	public Integer call() throws InterruptedException {
		ServiceOptions options = new ServiceOptions(this.common.id, this.common.port, this.latencyMillis,
				this.reportLagMillis);
		PlainServiceServer server = new PlainServiceServer(options, this.common.openHistory());
		server.start();
		this.common.announceAndWait(this.spec.commandLine().getOut(), server.address());
		return 0;
	}

}
