package io.mulberrylift.daemon.cli;

import java.util.List;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.ConfigurationProblem;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.daemon.settings.InstanceSettings;
import io.mulberrylift.daemon.settings.InstanceSettingsReader;
import io.mulberrylift.daemon.settings.PublishedConfigurationParser;
import io.mulberrylift.daemon.settings.SettingsCheck;

/**
 * Kinds of files that the command line validates.
 */
enum DocumentKind {

	/** A configuration to publish. */
	FLEET {

		@Override
		List<ConfigurationProblem> problems(String text) {
			ConfigurationCheck check = PublishedConfigurationParser.check(new PublishedDocument(0, text));
			return (check instanceof ConfigurationCheck.Rejected rejected) ? rejected.problems() : List.of();
		}

	},

	/** Settings of an instance. */
	INSTANCE {

		@Override
		List<ConfigurationProblem> problems(String text) {
			SettingsCheck<InstanceSettings> check = InstanceSettingsReader.read(text);
			return (check instanceof SettingsCheck.Invalid<InstanceSettings> invalid) ? invalid.problems() : List.of();
		}

	};

	/**
	 * Validates the content of a file.
	 * @param text the content
	 * @return all problems found, empty if the content is valid
	 */
	abstract List<ConfigurationProblem> problems(String text);

}
