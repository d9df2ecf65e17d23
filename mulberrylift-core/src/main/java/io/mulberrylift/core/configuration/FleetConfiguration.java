package io.mulberrylift.core.configuration;

import java.util.List;
import java.util.Map;

import io.mulberrylift.core.model.ZoneId;

/**
 * The accepted content of a published configuration.
 *
 * <p>
 * Immutable. Values are checked by {@link ConfigurationChecks}, not here, so that every
 * problem of a document can be reported at once.
 * </p>
 *
 * @param witnessZones availability zones with a witness seat each, an odd number
 * @param models served models by name
 * @param services plain services by name
 * @param profiles profiles by name
 * @param workspaces workspaces by name
 * @param routing how endpoints are chosen
 * @param promise how long and how much is remembered of non-idempotent requests
 * @param retry limits on repeated tries
 * @param orders how engines are brought to the wanted state
 */
public record FleetConfiguration(List<ZoneId> witnessZones, Map<String, ModelSettings> models,
		Map<String, ServiceSettings> services, Map<String, ProfileSettings> profiles,
		Map<String, WorkspaceSettings> workspaces, RoutingSettings routing, IdempotencySettings promise,
		RetrySettings retry, OrderSettings orders) {

	/**
	 * Creates the configuration. Missing collections become empty and missing groups take
	 * their defaults.
	 */
	public FleetConfiguration {
		witnessZones = (witnessZones != null) ? List.copyOf(witnessZones) : List.of();
		models = (models != null) ? Map.copyOf(models) : Map.of();
		services = (services != null) ? Map.copyOf(services) : Map.of();
		profiles = (profiles != null) ? Map.copyOf(profiles) : Map.of();
		workspaces = (workspaces != null) ? Map.copyOf(workspaces) : Map.of();
		routing = (routing != null) ? routing : RoutingSettings.DEFAULTS;
		promise = (promise != null) ? promise : IdempotencySettings.DEFAULTS;
		retry = (retry != null) ? retry : RetrySettings.DEFAULTS;
		orders = (orders != null) ? orders : OrderSettings.DEFAULTS;
	}

}
