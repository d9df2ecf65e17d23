package io.mulberrylift.testkit.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.EngineCostModel;
import io.mulberrylift.core.placement.EngineDivision;
import io.mulberrylift.core.placement.FirstTokenCorrection;
import io.mulberrylift.core.placement.Placement;
import io.mulberrylift.core.placement.PromptDemand;
import io.mulberrylift.core.placement.PromptPlacement;

/**
 * Rules for placing prompts. The first three are baselines: they know the work of all
 * instances with the same delay and refuse prompts larger than the memory of an engine.
 */
public enum PlacementRule {

	/** A random engine. */
	RANDOM,

	/** The engine with the fewest requests. */
	LEAST_REQUESTS,

	/** The engine with the fewest tokens of engine memory in use. */
	LEAST_TOKENS,

	/**
	 * The prompt placement policy without a division of the engines and with long prompts
	 * in summaries.
	 */
	UNDIVIDED,

	/** The prompt placement policy of the product. */
	PREDICTED_LOSS,

	/** The same policy, where each instance knows all work at once. */
	ALL_KNOWING;

	/**
	 * Returns whether this is the policy of the product, also in other conditions.
	 * @return false for the baselines
	 */
	boolean isPolicy() {
		return this == UNDIVIDED || isDivided();
	}

	/**
	 * Returns whether instances share their demand and publish long prompts individually.
	 * @return true for the product
	 */
	boolean isDivided() {
		return this == PREDICTED_LOSS || this == ALL_KNOWING;
	}

	/**
	 * Returns whether instances know the work of all others without delay.
	 * @return true for the limit
	 */
	boolean isAllKnowing() {
		return this == ALL_KNOWING;
	}

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
		return (demand, engines, model, division, correction, now) -> switch (this) {
			case RANDOM -> enginesThatFit(demand, engines, model)
				.map((list) -> onSingleEngine(demand, list.get(ties.nextInt(list.size())), model));
			case LEAST_REQUESTS -> enginesThatFit(demand, engines, model).map((list) -> onSingleEngine(demand,
					leastLoaded(list, Comparator.comparingInt(EndpointWork::slotsInUse), ties), model));
			case LEAST_TOKENS -> enginesThatFit(demand, engines, model).map((list) -> onSingleEngine(demand,
					leastLoaded(list, Comparator.comparingLong(EndpointWork::memoryTokens), ties), model));
			case UNDIVIDED, PREDICTED_LOSS, ALL_KNOWING -> {
				policy.setDivision(division);
				policy.setFirstTokenFactor((parts) -> correction.factor("", parts));
				yield policy.place(demand, engines, model, zone, now)
					.or(() -> policy.placeAcrossMemories(demand, engines, model, zone, now))
					.filter((placement) -> policy.admits(demand, placement));
			}
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
				EngineDivision division, FirstTokenCorrection correction, long nowMillis);

	}

}
