package io.mulberrylift.testkit.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.EngineCostModel;
import io.mulberrylift.core.placement.Placement;
import io.mulberrylift.core.placement.PromptDemand;
import io.mulberrylift.core.placement.PromptPlacement;

/**
 * Rules for placing prompts. All but the last are baselines: they know the work of all
 * instances with the same delay and refuse prompts larger than the memory of an engine.
 */
public enum PlacementRule {

	/** A random engine. */
	RANDOM,

	/** The engine with the fewest requests. */
	LEAST_REQUESTS,

	/** The engine with the fewest tokens of engine memory in use. */
	LEAST_TOKENS,

	/** The prompt placement policy of the product. */
	PREDICTED_LOSS;

	/**
	 * Creates the placer of one instance.
	 * @param seed seed of its random choices
	 * @param zone availability zone of the instance
	 * @param otherZonesUnknown whether the work of other zones is unknown
	 * @return the placer
	 */
	Placer placer(long seed, String zone, boolean otherZonesUnknown) {
		RandomGenerator random = new SplittableRandom(seed);
		PromptPlacement policy = new PromptPlacement(random);
		policy.setOtherZonesUnknown(otherZonesUnknown);
		Random ties = new Random(seed);
		return (demand, engines, model, now) -> switch (this) {
			case RANDOM -> enginesThatFit(demand, engines, model)
				.map((list) -> onSingleEngine(demand, list.get(ties.nextInt(list.size())), model));
			case LEAST_REQUESTS -> enginesThatFit(demand, engines, model).map((list) -> onSingleEngine(demand,
					leastLoaded(list, Comparator.comparingInt(EndpointWork::slotsInUse), ties), model));
			case LEAST_TOKENS -> enginesThatFit(demand, engines, model).map((list) -> onSingleEngine(demand,
					leastLoaded(list, Comparator.comparingLong(EndpointWork::memoryTokens), ties), model));
			case PREDICTED_LOSS -> policy.place(demand, engines, model, zone, now)
				.or(() -> policy.placeAcrossMemories(demand, engines, model, zone, now))
				.filter((placement) -> policy.admits(demand, placement));
		};
	}

	private static Optional<List<EndpointWork>> enginesThatFit(PromptDemand demand, List<EndpointWork> engines,
			EngineCostModel model) {
		return Optional.of(engines).filter((list) -> demand.memoryTokens() <= model.memoryTokens());
	}

	private static EndpointWork leastLoaded(List<EndpointWork> engines, Comparator<EndpointWork> order, Random ties) {
		int offset = ties.nextInt(engines.size());
		EndpointWork best = engines.get(offset);
		for (int index = 1; index < engines.size(); index++) {
			EndpointWork candidate = engines.get((offset + index) % engines.size());
			best = (order.compare(candidate, best) < 0) ? candidate : best;
		}
		return best;
	}

	private static Placement onSingleEngine(PromptDemand demand, EndpointWork engine, EngineCostModel model) {
		double prefillMillis = model.partPrefillMillis(demand.promptTokens(), 1);
		return new Placement(engine.endpoint(), List.of(), prefillMillis, prefillMillis, 0);
	}

	/**
	 * Chooses the engines of a prompt; empty if the prompt is refused.
	 */
	@FunctionalInterface
	interface Placer {

		Optional<Placement> place(PromptDemand demand, List<EndpointWork> engines, EngineCostModel model,
				long nowMillis);

	}

}
