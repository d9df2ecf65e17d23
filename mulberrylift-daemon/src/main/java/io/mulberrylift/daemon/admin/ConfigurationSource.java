package io.mulberrylift.daemon.admin;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.mulberrylift.core.configuration.ConfigurationProblem;

/**
 * Tells which published configuration is in force.
 *
 * <p>
 * Implementations are safe for use by several threads.
 * </p>
 */
@FunctionalInterface
public interface ConfigurationSource {

	/**
	 * Returns what is in force and what was rejected last.
	 * @return the status
	 */
	ConfigurationStatus status();

	/**
	 * What is in force and what was rejected last.
	 *
	 * @param versionInForce version in force, empty before there is one
	 * @param lastRejected the version rejected last, empty for none
	 */
	record ConfigurationStatus(OptionalLong versionInForce, Optional<RejectedVersion> lastRejected) {
	}

	/**
	 * A rejected version.
	 *
	 * @param version the version
	 * @param problems all that is wrong with it
	 */
	record RejectedVersion(long version, List<ConfigurationProblem> problems) {

		/**
		 * Creates the description.
		 */
		public RejectedVersion {
			problems = List.copyOf(problems);
		}

	}

}
