package io.mulberrylift.core.gossip;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Optional part of a full state: what an instance knows beyond its own work and what all
 * instances decide by. Builds that do not know a part skip it, and a part that is missing
 * states nothing. Immutable.
 *
 * @param evacuations evacuated availability zones, empty if they are not stated
 * @param coldEndpoints endpoints that are known to be cold
 * @param demand observed demand
 * @param costs learned quantities
 */
public record FleetFigures(Optional<EvacuationKnowledge> evacuations, List<ColdEndpoint> coldEndpoints,
		List<DemandFigure> demand, List<CostFigure> costs) {

	/** States nothing. */
	public static final FleetFigures NONE = new FleetFigures(Optional.empty(), List.of(), List.of(), List.of());

	/**
	 * Creates the figures.
	 */
	public FleetFigures {
		Objects.requireNonNull(evacuations, "evacuations");
		coldEndpoints = List.copyOf(coldEndpoints);
		demand = List.copyOf(demand);
		costs = List.copyOf(costs);
	}

}
