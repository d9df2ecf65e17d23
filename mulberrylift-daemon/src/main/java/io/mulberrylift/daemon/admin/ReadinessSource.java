package io.mulberrylift.daemon.admin;

import java.util.Optional;

/**
 * Tells whether the instance may be given requests.
 *
 * <p>
 * Implementations are safe for use by several threads and do not block.
 * </p>
 */
@FunctionalInterface
public interface ReadinessSource {

	/**
	 * Returns why the instance is not ready. It is ready when configuration and instance
	 * list are known and it is not shutting down.
	 * @return the reason in words, empty when it is ready
	 */
	Optional<String> notReadyReason();

}
