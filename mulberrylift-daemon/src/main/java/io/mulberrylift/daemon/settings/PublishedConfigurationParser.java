package io.mulberrylift.daemon.settings;

import java.util.Comparator;
import java.util.List;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.ConfigurationChecks;
import io.mulberrylift.core.configuration.ConfigurationProblem;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.PublishedDocument;

/**
 * Parses and validates published configuration documents. Stateless and deterministic:
 * every instance accepts or rejects the same document alike.
 */
public final class PublishedConfigurationParser {

	private PublishedConfigurationParser() {
	}

	/**
	 * Parses and validates a document.
	 * @param document the document, not null
	 * @return the accepted configuration, or all problems found
	 */
	public static ConfigurationCheck check(PublishedDocument document) {
		SettingsCheck<FleetConfiguration> result = JsonRecordReader.read(document.json(), FleetConfiguration.class,
				PublishedConfigurationParser::contentProblems);
		if (result instanceof SettingsCheck.Valid<FleetConfiguration> valid) {
			return new ConfigurationCheck.Accepted(document, valid.value());
		}
		return new ConfigurationCheck.Rejected(document,
				((SettingsCheck.Invalid<FleetConfiguration>) result).problems());
	}

	private static List<ConfigurationProblem> contentProblems(FleetConfiguration configuration) {
		return ConfigurationChecks.problems(configuration)
			.stream()
			.sorted(Comparator.comparing(ConfigurationProblem::key))
			.toList();
	}

}
