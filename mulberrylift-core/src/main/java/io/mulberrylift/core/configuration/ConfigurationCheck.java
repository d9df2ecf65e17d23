package io.mulberrylift.core.configuration;

import java.util.List;

/**
 * Verdict on a published document. Every instance comes to the same verdict on the same
 * document.
 */
public sealed interface ConfigurationCheck {

	/**
	 * Returns the document that was checked.
	 * @return the document
	 */
	PublishedDocument document();

	/**
	 * The document may come into force.
	 *
	 * @param document the document
	 * @param configuration its content
	 */
	record Accepted(PublishedDocument document, FleetConfiguration configuration) implements ConfigurationCheck {
	}

	/**
	 * The document must not come into force.
	 *
	 * @param document the document
	 * @param problems all that is wrong with it, not empty
	 */
	record Rejected(PublishedDocument document, List<ConfigurationProblem> problems) implements ConfigurationCheck {

		/**
		 * Creates the verdict.
		 */
		public Rejected {
			problems = List.copyOf(problems);
		}

	}

}
