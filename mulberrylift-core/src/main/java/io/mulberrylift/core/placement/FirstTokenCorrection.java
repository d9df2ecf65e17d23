package io.mulberrylift.core.placement;

/**
 * Correction of predicted first tokens by what was observed.
 */
@FunctionalInterface
public interface FirstTokenCorrection {

	/** Corrects nothing. */
	FirstTokenCorrection NONE = (service, parts) -> 1;

	/**
	 * Returns the factor by which the predicted time to a first token is multiplied.
	 * @param service name of the service
	 * @param parts number of parts of the prompt
	 * @return the factor, greater than 0
	 */
	double factor(String service, int parts);

}
