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
 * Computes what an engine should have loaded. A pure function of configuration and list,
 * so that two commanders with the same version give the same orders.
 */
final class DesiredState {

	private static final String VERSION_SEPARATOR = "@";

	private DesiredState() {
	}

	/**
	 * Returns the order that gives an engine its wanted role.
	 * @param engine the engine
	 * @param role the role that it reports, empty when it reports none
	 * @param configuration the configuration in force
	 * @param fencingNumber version of that configuration
	 * @return the order, empty when the role is as wanted or none is wanted
	 */
	static Optional<EngineOrder> missingRole(EndpointDescription engine, String role, FleetConfiguration configuration,
			long fencingNumber) {
		return Optional.ofNullable(configuration.orders().roles().get(engine.id().value()))
			.filter((wanted) -> !wanted.equals(role))
			.map((wanted) -> new EngineOrder(EngineOrder.Kind.CHANGE_ROLE, wanted, "", fencingNumber));
	}

	/**
	 * Returns the loads that bring an engine to the wanted state.
	 * @param engine the engine
	 * @param loaded names of what it has loaded: models as {@code name@version}, adapters
	 * by name
	 * @param configuration the configuration in force
	 * @param fencingNumber version of that configuration
	 * @return the orders in a fixed order, empty when nothing is missing
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
