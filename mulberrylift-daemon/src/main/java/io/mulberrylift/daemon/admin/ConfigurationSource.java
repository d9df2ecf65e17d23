package io.mulberrylift.daemon.admin;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.mulberrylift.core.configuration.ConfigurationProblem;

/**
 * Provides the status of the published configuration.
 *
 * <p>
 * Implementations are thread-safe.
 * </p>
 */
@FunctionalInterface
public interface ConfigurationSource {

	/**
	 * Returns the version in force and the version that was rejected last.
	 * @return the current status
	 */
	ConfigurationStatus status();

	/**
	 * Status of the published configuration.
	 *
	 * @param versionInForce version in force, empty until one has been accepted
	 * @param lastRejected the version rejected last, empty if none was rejected
	 */
	record ConfigurationStatus(OptionalLong versionInForce, Optional<RejectedVersion> lastRejected) {
	}

	/**
	 * A version that failed validation.
	 *
	 * @param version number of the version
	 * @param problems all problems found in it
	 */
	record RejectedVersion(long version, List<ConfigurationProblem> problems) {

		/**
		 * Creates a description with an unmodifiable copy of the problems.
		 */
		public RejectedVersion {
			problems = List.copyOf(problems);
		}

	}

}
