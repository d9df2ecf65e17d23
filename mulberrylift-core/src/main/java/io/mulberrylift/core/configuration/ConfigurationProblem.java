package io.mulberrylift.core.configuration;

/**
 * A problem in a configuration document or settings file.
 *
 * @param key path of the key
 * @param value the value found, as text
 * @param allowed description of the allowed values
 * @param remedy instruction for the operator
 */
public record ConfigurationProblem(String key, String value, String allowed, String remedy) {

	@Override
	public String toString() {
		return this.key + " is " + this.value + "; allowed: " + this.allowed + ". " + this.remedy;
	}

}
