package io.mulberrylift.core.configuration;

import java.util.List;

/**
 * Result of checking a published document. The check is deterministic: every instance
 * gets the same result for the same document.
 */
public sealed interface ConfigurationCheck {

	/**
	 * Returns the document that was checked.
	 * @return the document, as it was published
	 */
	PublishedDocument document();

	/**
	 * The document is valid and may be applied.
	 *
	 * @param document the document
	 * @param configuration the parsed content
	 */
	record Accepted(PublishedDocument document, FleetConfiguration configuration) implements ConfigurationCheck {
	}

	/**
	 * The document is invalid and must not be applied.
	 *
	 * @param document the document
	 * @param problems all problems of the document, not empty
	 */
	record Rejected(PublishedDocument document, List<ConfigurationProblem> problems) implements ConfigurationCheck {

		/**
		 * Creates the result.
		 */
		public Rejected {
			problems = List.copyOf(problems);
		}

	}

}
