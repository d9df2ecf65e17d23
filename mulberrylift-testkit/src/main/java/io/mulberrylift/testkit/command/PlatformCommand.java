package io.mulberrylift.testkit.command;

import java.util.concurrent.Callable;

import io.mulberrylift.testkit.platform.PlatformServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Runs a stand-in for the platform. Not thread-safe.
 */
@Command(name = "platform", description = "Runs a stand-in for the platform: configuration service and instance list.",
		mixinStandardHelpOptions = true)
final class PlatformCommand implements Callable<Integer> {

	@Spec
	private CommandSpec spec;

	@Mixin
	private CommonOptions common;

	@Override
	public Integer call() throws InterruptedException {
		PlatformServer server = new PlatformServer(this.common.port, this.common.openHistory());
		server.start();
		this.common.announceAndWait(this.spec.commandLine().getOut(), server.address());
		return 0;
	}

}
