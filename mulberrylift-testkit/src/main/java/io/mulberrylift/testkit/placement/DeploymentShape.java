package io.mulberrylift.testkit.placement;

import java.util.Map;

/**
 * Sizes and load of the users' two deployments. The load alternates by thirds of a run:
 * mostly long prompts, mostly short prompts, mostly long prompts.
 */
public enum DeploymentShape {

	/** Deployment that serves road forecasts. */
	PRAIRIE(21, 9, Map.of(PromptKind.SHORT, 32.2, PromptKind.MEDIUM, 2.34, PromptKind.LONG, 0.965)),

	/** Deployment that serves weighbridge tickets. */
	TIMBANGAN(16, 7, Map.of(PromptKind.SHORT, 24.6, PromptKind.MEDIUM, 1.78, PromptKind.LONG, 0.742));

	private static final Map<PromptKind, Double> LONG_PHASE_FACTORS = Map.of(PromptKind.SHORT, 0.35, PromptKind.MEDIUM,
			1.3, PromptKind.LONG, 2.8);

	private static final Map<PromptKind, Double> SHORT_PHASE_FACTORS = Map.of(PromptKind.SHORT, 2.4, PromptKind.MEDIUM,
			0.5, PromptKind.LONG, 0.05);

	private final int engines;

	private final int instances;

	private final Map<PromptKind, Double> ratePerSecond;

	DeploymentShape(int engines, int instances, Map<PromptKind, Double> perSecond) {
		this.engines = engines;
		this.instances = instances;
		this.ratePerSecond = perSecond;
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
		return this.ratePerSecond.get(kind) * ((middle) ? SHORT_PHASE_FACTORS : LONG_PHASE_FACTORS).get(kind);
	}

}
