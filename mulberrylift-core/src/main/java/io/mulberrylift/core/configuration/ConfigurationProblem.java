package io.mulberrylift.core.configuration;

/**
 * One thing that is wrong with a configuration document.
 *
 * @param key path of the faulty key
 * @param value the value found, as text
 * @param allowed what is allowed there
 * @param remedy what the operator should do
 */
public record ConfigurationProblem(String key, String value, String allowed, String remedy) {

	@Override
	public String toString() {
		return this.key + " is " + this.value + "; allowed: " + this.allowed + ". " + this.remedy;
	}

}
