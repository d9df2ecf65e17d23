package io.mulberrylift.daemon.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;

import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Prints the internal state of a running instance as JSON.
 *
 * <p>
 * Not thread-safe.
 * </p>
 */
@Command(name = "state", description = "Prints the internal state of a running instance as JSON.",
		mixinStandardHelpOptions = true, versionProvider = VersionProvider.class)
final class StateCommand implements Callable<Integer> {

	private static final int OK_STATUS = 200;

	@Option(names = "--address", required = true, paramLabel = "HOST:PORT",
			description = "Address of the instance's operator port.")
	private String address;

	@Option(names = "--timeout-millis", defaultValue = "5000", paramLabel = "MILLIS",
			description = "Response timeout (default: ${DEFAULT-VALUE}).")
	private long timeoutMillis;

	@Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public Integer call() throws IOException {
		RequestConfig config = RequestConfig.custom()
			.setResponseTimeout(Timeout.ofMilliseconds(this.timeoutMillis))
			.build();
		try (CloseableHttpClient client = HttpClients.custom()
			.setDefaultRequestConfig(config)
			.disableAutomaticRetries()
			.build()) {
			return client.execute(new HttpGet("http://" + this.address + "/admin/state"), this::print);
		}
	}

	private int print(ClassicHttpResponse response) throws IOException, ParseException {
		String body = EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
		if (response.getCode() != OK_STATUS) {
			throw new IOException(this.address + " responded with status " + response.getCode()
					+ "; expected 200: check that the address is that of the operator port");
		}
		this.spec.commandLine().getOut().print(body);
		this.spec.commandLine().getOut().flush();
		return ExitCode.OK;
	}

}
