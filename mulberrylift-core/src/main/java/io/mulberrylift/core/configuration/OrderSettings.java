package io.mulberrylift.core.configuration;

import java.util.Map;

/**
 * Settings that control how engines are brought to the desired state.
 *
 * @param maxLoadsPerMinute maximum number of loads from the weight store per minute in
 * the entire fleet
 * @param roles desired role by endpoint name; endpoints without an entry keep their role
 */
public record OrderSettings(double maxLoadsPerMinute, Map<String, String> roles) {

	/** The default settings. */
	public static final OrderSettings DEFAULTS = new OrderSettings(0, null);

	private static final double DEFAULT_MAX_LOADS_PER_MINUTE = 30;

	/**
	 * Creates the settings. Absent values, null or 0, get their defaults.
	 */
	public OrderSettings {
		maxLoadsPerMinute = (maxLoadsPerMinute != 0) ? maxLoadsPerMinute : DEFAULT_MAX_LOADS_PER_MINUTE;
		roles = (roles != null) ? Map.copyOf(roles) : Map.of();
	}

}
