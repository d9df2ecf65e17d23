package io.mulberrylift.core.configuration;

import java.util.Map;

/**
 * How engines are brought to the wanted state.
 *
 * @param maxLoadsPerMinute most loads from the weight store per minute over the whole
 * fleet
 * @param roles wanted role by endpoint name; endpoints that are not named keep their role
 */
public record OrderSettings(double maxLoadsPerMinute, Map<String, String> roles) {

	/** Values used when the document names none. */
	public static final OrderSettings DEFAULTS = new OrderSettings(0, null);

	private static final double DEFAULT_MAX_LOADS_PER_MINUTE = 30;

	/**
	 * Creates the settings. Absent values, null or 0, take their defaults.
	 */
	public OrderSettings {
		maxLoadsPerMinute = (maxLoadsPerMinute != 0) ? maxLoadsPerMinute : DEFAULT_MAX_LOADS_PER_MINUTE;
		roles = (roles != null) ? Map.copyOf(roles) : Map.of();
	}

}
