package io.mulberrylift.daemon.settings;

import java.util.List;

import io.mulberrylift.core.configuration.ConfigurationProblem;

/**
 * Result of parsing and validating a document.
 *
 * @param <T> type of the record
 */
public sealed interface SettingsCheck<T> {

	/**
	 * The document is valid.
	 *
	 * @param <T> type of the record
	 * @param value its content
	 */
	record Valid<T>(T value) implements SettingsCheck<T> {
	}

	/**
	 * The document is not valid and must not be used.
	 *
	 * @param <T> type of the record
	 * @param problems all problems found, not empty
	 */
	record Invalid<T>(List<ConfigurationProblem> problems) implements SettingsCheck<T> {

		/**
		 * Creates the result.
		 */
		public Invalid {
			problems = List.copyOf(problems);
		}

	}

}
