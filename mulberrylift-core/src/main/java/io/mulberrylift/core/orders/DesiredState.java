package io.mulberrylift.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.ModelSettings;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EngineOrder;

/**
 * Computes the orders that bring an engine to its desired role and loaded models. The
 * result depends only on the configuration, the list and the engine's report, so that two
 * coordinators with the same version send the same orders.
 */
final class DesiredState {

	private static final String VERSION_SEPARATOR = "@";

	private DesiredState() {
	}

	/**
	 * Returns the order that changes an engine to its desired role.
	 * @param engine the engine
	 * @param role the reported role, empty when the engine reports none
	 * @param configuration the configuration in force
	 * @param fencingNumber the version of that configuration
	 * @return the order, empty when the engine has the desired role or none is configured
	 */
	static Optional<EngineOrder> missingRole(EndpointDescription engine, String role, FleetConfiguration configuration,
			long fencingNumber) {
		return Optional.ofNullable(configuration.orders().roles().get(engine.id().value()))
			.filter((desired) -> !desired.equals(role))
			.map((desired) -> new EngineOrder(EngineOrder.Kind.CHANGE_ROLE, desired, "", fencingNumber));
	}

	/**
	 * Returns the load orders for everything that an engine should have loaded and has
	 * not.
	 * @param engine the engine
	 * @param loaded the reported names of loaded models, as {@code name@version}, and of
	 * loaded adapters
	 * @param configuration the configuration in force
	 * @param fencingNumber the version of that configuration
	 * @return the orders in a deterministic sequence, empty when nothing is missing
	 */
	static List<EngineOrder> missingLoads(EndpointDescription engine, Set<String> loaded,
			FleetConfiguration configuration, long fencingNumber) {
		List<EngineOrder> orders = new ArrayList<>();
		for (String model : engine.targets().stream().sorted().toList()) {
			ModelSettings settings = configuration.models().get(model);
			if (settings != null) {
				addMissing(model, settings, loaded, fencingNumber, orders);
			}
		}
		return orders;
	}

	private static void addMissing(String model, ModelSettings settings, Set<String> loaded, long fencingNumber,
			List<EngineOrder> orders) {
		if (!loaded.contains(model + VERSION_SEPARATOR + settings.version())) {
			orders.add(new EngineOrder(EngineOrder.Kind.LOAD_MODEL, model, settings.version(), fencingNumber));
		}
		for (String adapter : settings.adapters()) {
			if (!loaded.contains(adapter)) {
				orders.add(new EngineOrder(EngineOrder.Kind.LOAD_ADAPTER, adapter, settings.version(), fencingNumber));
			}
		}
	}

}
