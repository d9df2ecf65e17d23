package io.mulberrylift.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Locale;
import java.util.Optional;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.configuration.WorkspaceSettings;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.WorkspaceId;

/**
 * Validates the headers of a caller's request. A pure function of request and
 * configuration.
 */
final class EnvelopeChecks {

	private static final String BEARER = "bearer ";

	private EnvelopeChecks() {
	}

	/**
	 * Validates workspace, credential, profile and deadline.
	 * @param request the request
	 * @param configuration the configuration in force
	 * @return the validated headers, or why they are refused
	 */
	static CheckResult<Envelope> check(CallerRequest request, FleetConfiguration configuration) {
		return required(request, CallerHeaders.WORKSPACE)
			.then((workspace) -> checkWorkspace(request, workspace, configuration))
			.then((settings) -> checkProfile(request, settings, configuration));
	}

	private static CheckResult<String> required(CallerRequest request, String header) {
		return request.header(header)
			.map(CheckResult::valid)
			.orElseGet(() -> CheckResult.refused(RefusalReason.BAD_REQUEST, "The header " + header + " is missing"));
	}

	private static CheckResult<WorkspaceSettings> checkWorkspace(CallerRequest request, String workspace,
			FleetConfiguration configuration) {
		WorkspaceSettings settings = configuration.workspaces().get(workspace);
		if (settings == null) {
			return CheckResult.refused(RefusalReason.UNKNOWN_WORKSPACE,
					"The workspace " + workspace + " is not configured");
		}
		if (!settings.credentialSha256().isEmpty() && !credentialMatches(request, settings.credentialSha256())) {
			return CheckResult.refused(RefusalReason.UNAUTHORIZED,
					"The credential of workspace " + workspace + " is missing or wrong");
		}
		return CheckResult.valid(settings);
	}

	private static boolean credentialMatches(CallerRequest request, String expectedSha256) {
		Optional<String> credential = request.header(CallerHeaders.AUTHORIZATION)
			.filter((value) -> value.toLowerCase(Locale.ROOT).startsWith(BEARER))
			.map((value) -> value.substring(BEARER.length()).trim());
		String actualSha256 = Hashing.sha256().hashString(credential.orElse(""), StandardCharsets.UTF_8).toString();
		boolean equal = MessageDigest.isEqual(actualSha256.getBytes(StandardCharsets.US_ASCII),
				expectedSha256.getBytes(StandardCharsets.US_ASCII));
		return credential.isPresent() && equal;
	}

	private static CheckResult<Envelope> checkProfile(CallerRequest request, WorkspaceSettings workspaceSettings,
			FleetConfiguration configuration) {
		return required(request, CallerHeaders.PROFILE).then((name) -> {
			ProfileSettings profile = configuration.profiles().get(name);
			if (profile == null) {
				return CheckResult.refused(RefusalReason.UNKNOWN_PROFILE, "The profile " + name + " is not configured");
			}
			WorkspaceId workspace = new WorkspaceId(request.header(CallerHeaders.WORKSPACE).orElseThrow());
			return timeoutMillis(request, profile).then((timeoutMillis) -> CheckResult
				.valid(new Envelope(workspace, workspaceSettings, name, profile, timeoutMillis)));
		});
	}

	private static CheckResult<Long> timeoutMillis(CallerRequest request, ProfileSettings profile) {
		Optional<String> header = request.header(CallerHeaders.DEADLINE);
		if (header.isEmpty()) {
			return CheckResult.valid(profile.defaultTimeoutMillis());
		}
		Long timeoutMillis = Longs.tryParse(header.get());
		if (timeoutMillis == null || timeoutMillis < 1 || timeoutMillis > profile.maxTimeoutMillis()) {
			return CheckResult.refused(RefusalReason.BAD_REQUEST, "The header " + CallerHeaders.DEADLINE + " is "
					+ header.get() + "; allowed: 1 to " + profile.maxTimeoutMillis());
		}
		return CheckResult.valid(timeoutMillis);
	}

}
