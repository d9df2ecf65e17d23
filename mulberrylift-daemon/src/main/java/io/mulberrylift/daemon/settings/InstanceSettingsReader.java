package io.mulberrylift.daemon.settings;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;

import io.mulberrylift.core.configuration.ConfigurationProblem;

/**
 * Parses and validates the settings of an instance. Stateless; the result depends only on
 * the text.
 */
public final class InstanceSettingsReader {

	private static final int MAX_PORT = 65_535;

	private static final int MIN_BODY_BYTES = 1_024;

	private static final int MAX_BODY_BYTES = 64 * 1_024 * 1_024;

	private static final int MIN_HEADER_BYTES = 1_024;

	private static final int MAX_HEADER_BYTES = 1_024 * 1_024;

	private static final int MAX_CALLERS = 100_000;

	private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

	private InstanceSettingsReader() {
	}

	/**
	 * Parses and validates settings.
	 * @param text the document, JSON with comments
	 * @return the settings, or all problems found
	 */
	public static SettingsCheck<InstanceSettings> read(String text) {
		return JsonRecordReader.read(text, InstanceSettings.class, InstanceSettingsReader::findProblems);
	}

	private static List<ConfigurationProblem> findProblems(InstanceSettings settings) {
		List<ConfigurationProblem> problems = new ArrayList<>();
		checkListen("callers", settings.callers().host(), settings.callers().port(), problems);
		checkListen("operators", settings.operators().host(), settings.operators().port(), problems);
		checkListen("peers", settings.peers().host(), settings.peers().port(), problems);
		checkBaseUrl(settings.platform().baseUrl(), problems);
		checkLimits(settings.limits(), problems);
		settings.callers()
			.tls()
			.ifPresent((tls) -> checkNotBlank("callers.tls.keyStorePath", tls.keyStorePath(), problems));
		settings.peers().tls().ifPresent((tls) -> {
			checkNotBlank("peers.tls.keyStorePath", tls.keyStorePath(), problems);
			checkNotBlank("peers.tls.trustStorePath", tls.trustStorePath(), problems);
		});
		return problems;
	}

	private static void checkListen(String key, String host, int port, List<ConfigurationProblem> problems) {
		checkNotBlank(key + ".host", host, problems);
		checkRange(key + ".port", port, 0, MAX_PORT, problems);
	}

	private static void checkLimits(LimitSettings limits, List<ConfigurationProblem> problems) {
		checkRange("limits.maxBodyBytes", limits.maxBodyBytes(), MIN_BODY_BYTES, MAX_BODY_BYTES, problems);
		checkRange("limits.maxTotalBodyBytes", limits.maxTotalBodyBytes(), limits.maxBodyBytes(), Long.MAX_VALUE,
				problems);
		checkRange("limits.maxHeaderBytes", limits.maxHeaderBytes(), MIN_HEADER_BYTES, MAX_HEADER_BYTES, problems);
		checkRange("limits.maxConcurrentCallers", limits.maxConcurrentCallers(), 1, MAX_CALLERS, problems);
		checkRange("limits.bodyTimeoutMillis", limits.bodyTimeoutMillis(), 1, MAX_TIMEOUT_MILLIS, problems);
		checkRange("limits.idleTimeoutMillis", limits.idleTimeoutMillis(), 1, MAX_TIMEOUT_MILLIS, problems);
	}

	private static void checkBaseUrl(String baseUrl, List<ConfigurationProblem> problems) {
		if (!isHttpUrl(baseUrl)) {
			problems.add(new ConfigurationProblem("platform.baseUrl", baseUrl, "an http URL with a host",
					"Set the platform's address, such as http://10.0.0.1:8500."));
		}
	}

	private static boolean isHttpUrl(String text) {
		try {
			URI uri = new URI(text);
			return uri.getHost() != null && "http".equals(uri.getScheme());
		}
		catch (URISyntaxException ex) {
			return false;
		}
	}

	private static void checkNotBlank(String key, String value, List<ConfigurationProblem> problems) {
		if (value.isBlank()) {
			problems.add(new ConfigurationProblem(key, "blank", "text that is not blank", "Set a value."));
		}
	}

	private static void checkRange(String key, long value, long min, long max, List<ConfigurationProblem> problems) {
		if (value < min || value > max) {
			problems.add(new ConfigurationProblem(key, String.valueOf(value), min + " to " + max,
					"Set a value in this range."));
		}
	}

}
