package io.mulberrylift.daemon.caller;

import java.util.Optional;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;

/**
 * Corrects the outcome of refusals that are made before a request reaches the reducer.
 *
 * <p>
 * A pure function of request and configuration. The refused send itself has not run, but
 * an earlier send with the same key may have. The outcome stays "not run" only if no
 * earlier send can have run under the key or if the work may run more than once.
 * </p>
 */
final class EarlyRefusals {

	private static final String EARLIER_SEND_DETAIL = "this send did not run, but an earlier send with the same key may have";

	private EarlyRefusals() {
	}

	/**
	 * Corrects the outcome of a refusal.
	 * @param refusal the refusal of this send
	 * @param request the request, with or without its body
	 * @param configuration the configuration in force, empty until one is loaded
	 * @return the refusal, with outcome "unknown" if an earlier send may have run
	 */
	static Refusal correctOutcome(Refusal refusal, CallerRequest request, Optional<FleetConfiguration> configuration) {
		if (refusal.outcome() != Outcome.NOT_RUN || !KeyChecks.hasUsableKey(request)
				|| isRepeatable(request, configuration)) {
			return refusal;
		}
		String detail = (refusal.detail().isEmpty()) ? EARLIER_SEND_DETAIL
				: refusal.detail() + "; " + EARLIER_SEND_DETAIL;
		return new Refusal(Outcome.UNKNOWN, refusal.reason(), detail, refusal.retryAfterMillis());
	}

	private static boolean isRepeatable(CallerRequest request, Optional<FleetConfiguration> configuration) {
		return configuration.map((fleet) -> CallerRoute.of(request.path()).isRepeatable(request, fleet)).orElse(false);
	}

	/**
	 * Returns whether the profile of a completion request allows repeated runs.
	 * @param request the request
	 * @param configuration the configuration in force
	 * @return true if the work may be repeated; false also if the profile is unknown
	 */
	static boolean isRepeatableModelWork(CallerRequest request, FleetConfiguration configuration) {
		return request.header(CallerHeaders.PROFILE)
			.map(configuration.profiles()::get)
			.map(ProfileSettings::repeatable)
			.orElse(false);
	}

	/**
	 * Returns whether a call to a plain service may run more than once.
	 * @param request the request
	 * @param configuration the configuration in force
	 * @return true if the call may be repeated; false also if the path is malformed or
	 * the service unknown
	 */
	static boolean isRepeatableServiceCall(CallerRequest request, FleetConfiguration configuration) {
		return ServicePath.parse(request.path(), request.query())
			.filter((path) -> configuration.services().containsKey(path.service()))
			.map((path) -> configuration.services().get(path.service()).isRepeatable(path.path()))
			.orElse(false);
	}

}
