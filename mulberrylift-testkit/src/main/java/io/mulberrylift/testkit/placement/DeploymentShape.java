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
			Map.of(PromptKind.SHORT, 82.6, PromptKind.MEDIUM, 7.56, PromptKind.VERY_LONG, 2.23)),

	/** Deployment of a giving relay as its small twin: 9 instances that know all work. */
	RELAY_9(17, 8, relayModel(), 9, 1, relayRates(17)),

	/** Deployment of a giving relay, whose engines are slower than the others'. */
	RELAY_24(45, 8, relayModel(), 24, 3, relayRates(45)),

	/** The same with three times the engines and load. */
	RELAY_75(140, 8, relayModel(), 75, 3, relayRates(140)),

	/** The same with 12 times the engines and load. */
	RELAY_300(560, 8, relayModel(), 300, 3, relayRates(560));

	private static final Map<PromptKind, Double> LONG_PHASE_FACTORS = Map.of(PromptKind.SHORT, 0.35, PromptKind.MEDIUM,
			1.3, PromptKind.LONG, 2.8, PromptKind.VERY_LONG, 2.8, PromptKind.QUESTION, 0.35, PromptKind.ACCOUNTS, 1.3,
			PromptKind.DOSSIER, 2.8);

	private static final Map<PromptKind, Double> SHORT_PHASE_FACTORS = Map.of(PromptKind.SHORT, 2.4, PromptKind.MEDIUM,
			0.5, PromptKind.LONG, 0.05, PromptKind.VERY_LONG, 0.05, PromptKind.QUESTION, 2.4, PromptKind.ACCOUNTS, 0.5,
			PromptKind.DOSSIER, 0.05);

	private final int engines;

	private final int slots;

	private final EngineCostModel model;

	private final int instances;

	private final int zones;

	private final Map<PromptKind, Double> ratePerSecond;

	DeploymentShape(int engines, int slots, long memoryTokens, int instances, int zones,
			Map<PromptKind, Double> perSecond) {
		this(engines, slots, new EngineCostModel(0.925, 0.007, 0.00254, 256, 0.0917, 2048, 46, memoryTokens), instances,
				zones, perSecond);
	}

	DeploymentShape(int engines, int slots, EngineCostModel model, int instances, int zones,
			Map<PromptKind, Double> perSecond) {
		this.engines = engines;
		this.slots = slots;
		this.model = model;
		this.instances = instances;
		this.zones = zones;
		this.ratePerSecond = perSecond;
	}

	private static EngineCostModel relayModel() {
		return new EngineCostModel(1.31, 0.000917, 0.00213, 154, 0.162, 2048, 38, 344_250);
	}

	private static Map<PromptKind, Double> relayRates(int engines) {
		double size = engines / 45.0;
		return Map.of(PromptKind.QUESTION, 43.9 * size, PromptKind.ACCOUNTS, 3.08 * size, PromptKind.DOSSIER,
				0.997 * size);
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
	 * Returns when the phase of the load that contains a moment ends.
	 * @param share elapsed share of the run, 0 to 1
	 * @return share of the run; the end of the run for the users' first deployments,
	 * whose rare prompts do not come back after a phase in which they are rare
	 */
	public double phaseEnd(double share) {
		if (ordinal() < RELAY_9.ordinal()) {
			return 1;
		}
		return (share < 1.0 / 3) ? 1.0 / 3 : (share < 2.0 / 3) ? 2.0 / 3 : 1;
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
