package io.mulberrylift.core.configuration;

import java.util.List;
import java.util.Map;

import io.mulberrylift.core.model.ZoneId;

/**
 * The parsed content of a published configuration.
 *
 * <p>
 * Immutable. The constructor does not validate; {@link ConfigurationChecks} does, so that
 * all problems of a document can be reported at once.
 * </p>
 *
 * @param witnessZones availability zones that have a witness seat, one each, an odd
 * number. The witness seats decide by majority whether a non-idempotent request may run
 * @param models the served models by name
 * @param services the plain services by name
 * @param profiles the request profiles by name
 * @param workspaces the workspaces by name
 * @param routing how endpoints are chosen
 * @param promise retention of idempotency keys and stored answers
 * @param retry limits on retries
 * @param orders how engines are brought to the desired state
 */
public record FleetConfiguration(List<ZoneId> witnessZones, Map<String, ModelSettings> models,
		Map<String, ServiceSettings> services, Map<String, ProfileSettings> profiles,
		Map<String, WorkspaceSettings> workspaces, RoutingSettings routing, IdempotencySettings promise,
		RetrySettings retry, OrderSettings orders) {

	/**
	 * Creates the configuration. Missing collections become empty and missing groups get
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
