package io.mulberrylift.daemon.admin;

import java.util.Optional;

/**
 * Reports whether the instance accepts requests.
 *
 * <p>
 * Implementations are thread-safe and do not block.
 * </p>
 */
@FunctionalInterface
public interface ReadinessSource {

	/**
	 * Returns why the instance is not ready. An instance is ready when it has loaded the
	 * configuration and the instance list and is not shutting down.
	 * @return human-readable reason, empty if the instance is ready
	 */
	Optional<String> notReadyReason();

}
