package io.mulberrylift.testkit.placement;

import java.util.Map;

import io.mulberrylift.core.placement.EngineCostModel;

/**
 * Sizes and load of the users' two deployments. The load alternates by thirds of a run:
 * mostly long prompts, mostly short prompts, mostly long prompts.
 */
public enum DeploymentShape {

	/** Deployment that serves road forecasts. */
	PRAIRIE(21, 11, 450_000, 9, 1, Map.of(PromptKind.SHORT, 32.2, PromptKind.MEDIUM, 2.34, PromptKind.LONG, 0.965)),

	/** Deployment that serves weighbridge tickets. */
	TIMBANGAN(16, 11, 450_000, 7, 1, Map.of(PromptKind.SHORT, 24.6, PromptKind.MEDIUM, 1.78, PromptKind.LONG, 0.742)),

	/**
	 * Grown deployment that serves road forecasts. Instances know only the work of their
	 * own availability zone.
	 */
	PRAIRIE_GROWN(69, 8, 382_500, 75, 3,
			Map.of(PromptKind.SHORT, 82.6, PromptKind.MEDIUM, 7.56, PromptKind.VERY_LONG, 2.23));

	private static final Map<PromptKind, Double> LONG_PHASE_FACTORS = Map.of(PromptKind.SHORT, 0.35, PromptKind.MEDIUM,
			1.3, PromptKind.LONG, 2.8, PromptKind.VERY_LONG, 2.8);

	private static final Map<PromptKind, Double> SHORT_PHASE_FACTORS = Map.of(PromptKind.SHORT, 2.4, PromptKind.MEDIUM,
			0.5, PromptKind.LONG, 0.05, PromptKind.VERY_LONG, 0.05);

	private final int engines;

	private final int slots;

	private final EngineCostModel model;

	private final int instances;

	private final int zones;

	private final Map<PromptKind, Double> ratePerSecond;

	DeploymentShape(int engines, int slots, long memoryTokens, int instances, int zones,
			Map<PromptKind, Double> perSecond) {
		this.engines = engines;
		this.slots = slots;
		this.model = new EngineCostModel(0.925, 0.007, 0.00254, 256, 0.0917, 2048, 46, memoryTokens);
		this.instances = instances;
		this.zones = zones;
		this.ratePerSecond = perSecond;
	}

	/**
	 * Returns the number of requests that an engine processes concurrently.
	 * @return the number
	 */
	public int slots() {
		return this.slots;
	}

	/**
	 * Returns the cost model of the engines.
	 * @return the model
	 */
	public EngineCostModel model() {
		return this.model;
	}

	/**
	 * Returns the number of availability zones that the instances are divided among. With
	 * several zones, instances know only the work of their own.
	 * @return the number
	 */
	public int zones() {
		return this.zones;
	}

	/**
	 * Returns the number of engines.
	 * @return the number
	 */
	public int engines() {
		return this.engines;
	}

	/**
	 * Returns the number of instances that place prompts.
	 * @return the number
	 */
	public int instances() {
		return this.instances;
	}

	/**
	 * Returns the arrival rate of a kind of prompt.
	 * @param kind the kind
	 * @param share elapsed share of the run, 0 to 1
	 * @return prompts per second
	 */
	public double ratePerSecond(PromptKind kind, double share) {
		boolean middle = share >= 1.0 / 3 && share < 2.0 / 3;
		return this.ratePerSecond.getOrDefault(kind, 0.0)
				* ((middle) ? SHORT_PHASE_FACTORS : LONG_PHASE_FACTORS).get(kind);
	}

}
