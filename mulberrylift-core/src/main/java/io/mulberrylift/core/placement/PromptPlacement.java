package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntToDoubleFunction;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.model.EndpointId;

/**
 * Places prompts on engines such that the predicted loss of benefit is least.
 *
 * <p>
 * For each number of parts that a prompt may be split into, the engines of least cost are
 * chosen. The cost consists of the lateness of the prompt itself, the inter-token gaps
 * that a part adds to answers being generated on the engine and the delay of prompts that
 * wait there. Engines that already generate short answers are filled before others
 * receive any, which keeps the other engines free for long prompts. The number of engines
 * used for each kind thus follows the load without coordination. Not thread-safe; owned
 * by the reducer.
 * </p>
 */
public final class PromptPlacement {

	/**
	 * Maximum number of engines that a request may list as helpers; a limit of the
	 * engines.
	 */
	public static final int MAX_HELPERS = 16;

	private static final int[] PART_COUNTS = { 1, 2, 3, 4, 6, 8, 11, 14, MAX_HELPERS + 1 };

	/**
	 * Numbers of parts of a prompt whose memory is reserved on each engine. The engine
	 * that decodes is then listed as a helper, too.
	 */
	private static final int[] RESERVED_PART_COUNTS = { 2, 3, 4, 6, 8, 11, 14, MAX_HELPERS };

	/** Share of an inter-token gap target from which a late token is possible. */
	private static final double GAP_SAFE_SHARE = 0.85;

	/** Share of an inter-token gap target from which a late token is certain. */
	private static final double GAP_LATE_SHARE = 1.05;

	/**
	 * Share of the time until a first token is due from which lateness is possible.
	 */
	private static final double FIRST_SAFE_SHARE = 0.35;

	/** Share of the time until a first token is due from which lateness is certain. */
	private static final double FIRST_LATE_SHARE = 1.0;

	/** Share of a request's benefit that is lost if it is late. */
	private static final double LATENESS_COST = 0.75;

	/**
	 * Cost per share of the target used, so that the faster of two timely choices is
	 * preferred.
	 */
	private static final double LATENCY_COST = 0.1;

	/**
	 * The same for long prompts, by weight, while the engines are divided and those of
	 * other zones are not told at once: a zone's long prompts stay on its engines.
	 */
	private static final double UNKNOWN_ZONE_LONG_COST = 1;

	/**
	 * Cost of placing the first short answer on an engine, in units of a short answer's
	 * benefit.
	 */
	private static final double FIRST_SHORT_ANSWER_COST = 0.25;

	/**
	 * Gain per share of an engine's slots in use for answers that tolerate gaps: few long
	 * parts are prefilled on engines with short answers.
	 */
	private static final double CO_LOCATION_GAIN = 1.0;

	/**
	 * Cost per share of slots in use above {@link #COMFORTABLE_SLOT_SHARE}: requests that
	 * are not known yet take the remaining slots.
	 */
	private static final double SLOT_PRESSURE_COST = 3.0;

	private static final double COMFORTABLE_SLOT_SHARE = 0.8;

	/** Cost of a failure rate of 1, relative to the weight of the prompt. */
	private static final double FAILURE_COST = 1.5;

	/** Cost of another availability zone; low because little data is transferred. */
	private static final double OTHER_ZONE_COST = 0.005;

	/** Cost of another availability zone whose work is not known. */
	private static final double UNKNOWN_ZONE_COST = 0.4;

	/**
	 * The same for short answers while the engines are divided: those of other zones fill
	 * the engines of their side.
	 */
	private static final double UNKNOWN_ZONE_SHORT_COST = 1;

	/**
	 * Delay for each request in excess of an engine's slots, in milliseconds.
	 */
	private static final double QUEUED_REQUEST_MILLIS = 150;

	/**
	 * Memory in addition to the even share that an engine must have, for rounding up to
	 * blocks.
	 */
	private static final long MEMORY_MARGIN_TOKENS = 1024;

	/** Minimum prefill time of a part that justifies another engine, in milliseconds. */
	private static final double MIN_PART_MILLIS = 60;

	/** Cost per second until a helper has prefilled its part, for ranking helpers. */
	private static final double HELPER_DELAY_COST = 3.0;

	/**
	 * Share of the current iteration's prefill that a new part is assumed to wait for.
	 */
	private static final double RUNNING_ITERATION_SHARE = 1.0;

	/** Weight from which a prompt counts as large: 56,000 tokens. */
	private static final double LARGE_WEIGHT = 4;

	/** Number of large prompts that may be refused for each one that is admitted. */
	private static final double REFUSAL_CREDIT_PER_ADMISSION = 0.5;

	/** Maximum number of consecutive refusals. */
	private static final double MAX_REFUSAL_CREDIT = 3;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Maximum number of helper prefills of an engine as a share of its slots; parts that
	 * are not known yet take the rest.
	 */
	private static final double MAX_HELPER_SHARE = 0.5;

	/** Maximum random cost, which spreads the choice among nearly equal engines. */
	private static final double JITTER_COST = 0.05;

	/**
	 * Maximum random cost of a short answer while the work of other zones is unknown.
	 * Instances with similar incomplete views would otherwise choose the same engine.
	 */
	private static final double UNKNOWN_WORK_JITTER_COST = 3;

	/** The same while the engines are divided: the side of short answers is small. */
	private static final double DIVIDED_JITTER_COST = 0.05;

	/** Random engines of each side and zone that a short answer chooses from. */
	private static final int CHOICES = 2;

	/**
	 * Cost of a part of a long prompt for each short answer that is expected at an engine
	 * and not known yet.
	 */
	private static final double OTHER_SIDE_COST = 1;

	/**
	 * Maximum number of parts relative to the engines of long prompts that are expected
	 * to be free.
	 */
	private static final double MAX_PARTS_PER_FREE_ENGINE = 2;

	/**
	 * Share of the time until its first token is due in which a long prompt is to be
	 * prefilled; it is split across that many engines even if they are not free.
	 */
	private static final double PREFILL_SHARE = 0.5;

	private final RandomGenerator random;

	private double refusalCredit = MAX_REFUSAL_CREDIT;

	private boolean otherZonesUnknown;

	private EngineDivision division = EngineDivision.NONE;

	private IntToDoubleFunction firstTokenFactor = (parts) -> 1;

	/**
	 * Creates the policy.
	 * @param random source of randomness for breaking ties
	 */
	public PromptPlacement(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Sets whether the work of other zones is unknown. While it is, short answers are
	 * spread across engines of similar cost instead of being concentrated on few.
	 * @param unknown true if it is unknown
	 */
	public void setOtherZonesUnknown(boolean unknown) {
		this.otherZonesUnknown = unknown;
	}

	/**
	 * Sets how the engines of the next prompt's service are divided.
	 * @param division the division
	 */
	public void setDivision(EngineDivision division) {
		this.division = Objects.requireNonNull(division, "division");
	}

	/**
	 * Sets how predicted first tokens of the next long prompt are corrected.
	 * @param factorByParts factor by number of parts
	 */
	public void setFirstTokenFactor(IntToDoubleFunction factorByParts) {
		this.firstTokenFactor = Objects.requireNonNull(factorByParts, "factorByParts");
	}

	/**
	 * Chooses the engines for a prompt.
	 * @param demand demand of the prompt
	 * @param engines the candidates with their work
	 * @param model their cost model
	 * @param zone availability zone of this instance
	 * @param nowMillis the current time
	 * @return the placement of least cost, empty if no engine has enough memory for the
	 * prompt
	 */
	public Optional<Placement> place(PromptDemand demand, List<EndpointWork> engines, EngineCostModel model,
			String zone, long nowMillis) {
		Optional<Placement> best = Optional.empty();
		int maxParts = maxParts(demand, model);
		for (int parts : PART_COUNTS) {
			if (parts > 1 && (parts > engines.size() || parts > maxParts || isTooSmallToSplit(demand, model, parts))) {
				break;
			}
			Optional<Placement> candidate = place(demand, engines, model, zone, parts, demand.memoryTokens(),
					nowMillis);
			if (candidate.isPresent() && (best.isEmpty() || candidate.get().cost() < best.get().cost())) {
				best = candidate;
			}
		}
		return best;
	}

	/**
	 * Chooses engines that together have enough memory for a prompt that exceeds that of
	 * any single one.
	 * @param demand demand of the prompt
	 * @param engines the candidates with their work
	 * @param model their cost model
	 * @param zone availability zone of this instance
	 * @param nowMillis the current time
	 * @return the placement of least cost, empty if there are not enough engines with
	 * free memory
	 */
	public Optional<Placement> placeAcrossMemories(PromptDemand demand, List<EndpointWork> engines,
			EngineCostModel model, String zone, long nowMillis) {
		Optional<Placement> best = Optional.empty();
		for (int parts : RESERVED_PART_COUNTS) {
			long tokensPerEngine = demand.memoryTokens() / parts + MEMORY_MARGIN_TOKENS;
			List<EndpointWork> withMemory = engines.stream()
				.filter((engine) -> engine.memoryTokens() + tokensPerEngine <= model.memoryTokens())
				.toList();
			if (withMemory.size() < parts || (best.isPresent() && parts > maxParts(demand, model))) {
				continue;
			}
			PromptDemand part = new PromptDemand(demand.promptTokens(), 0, demand.firstTokenTimeLeftMillis(),
					demand.timeLeftMillis(), demand.gapTargetMillis());
			Optional<Placement> candidate = place(part, withMemory, model, zone, parts, tokensPerEngine, nowMillis);
			if (candidate.isPresent() && (best.isEmpty() || candidate.get().cost() < best.get().cost())) {
				best = candidate;
			}
		}
		return best;
	}

	/**
	 * Decides whether a prompt is admitted. A large prompt whose cost to other requests
	 * exceeds its benefit is refused. Only a share of the large prompts is refused, so
	 * that no prompt size is locked out.
	 * @param demand demand of the prompt
	 * @param placement the placement of least cost
	 * @return false if the prompt should be refused and retried later
	 */
	public boolean admits(PromptDemand demand, Placement placement) {
		if (demand.weight() < LARGE_WEIGHT) {
			return true;
		}
		double latenessCost = latenessCost(demand, placement.expectedFirstTokenMillis());
		boolean beneficial = placement.cost() - latenessCost <= (1 + 2 * LATENCY_COST) * demand.weight() - latenessCost;
		if (beneficial || this.refusalCredit < 1) {
			this.refusalCredit = Math.min(MAX_REFUSAL_CREDIT, this.refusalCredit + REFUSAL_CREDIT_PER_ADMISSION);
			return true;
		}
		this.refusalCredit--;
		return false;
	}

	private static boolean isTooSmallToSplit(PromptDemand demand, EngineCostModel model, int parts) {
		return model.partPrefillMillis(demand.promptTokens(), parts) < MIN_PART_MILLIS;
	}

	private Optional<Placement> place(PromptDemand demand, List<EndpointWork> engines, EngineCostModel model,
			String zone, int parts, long memoryTokens, long nowMillis) {
		double partMillis = model.partPrefillMillis(demand.promptTokens(), parts);
		List<Candidate> candidates = new ArrayList<>(engines.size());
		List<EndpointWork> considered = considered(demand, engines, model, zone);
		for (EndpointWork engine : considered) {
			candidates.add(candidate(demand, engine, model, zone, parts, partMillis, nowMillis));
		}
		Optional<Candidate> first = candidates.stream()
			.filter((candidate) -> candidate.hasMemoryFor(memoryTokens, model))
			.min(Comparator.comparingDouble(Candidate::costAsFirst));
		if (first.isEmpty()) {
			return Optional.empty();
		}
		List<Candidate> helpers = candidates.stream()
			.filter((candidate) -> candidate != first.get() && candidate.mayHelp())
			.sorted(Comparator.comparingDouble(Candidate::costAsHelper))
			.limit(parts - 1)
			.toList();
		if (helpers.size() < parts - 1) {
			return Optional.empty();
		}
		double firstMillis = first.get().firstTokenMillis();
		double cost = first.get().costAsFirst() - first.get().latenessCost();
		for (Candidate helper : helpers) {
			firstMillis = Math.max(firstMillis, helper.prefillEndMillis());
			cost += helper.addedDelayCost();
		}
		cost += latenessCost(demand, firstMillis);
		firstMillis *= firstTokenFactor(demand, model, parts);
		List<ForwardEndpoint> endpoints = helpers.stream().map((helper) -> helper.engine().endpoint()).toList();
		return Optional.of(new Placement(first.get().engine().endpoint(), endpoints, partMillis, firstMillis, cost));
	}

	private Candidate candidate(PromptDemand demand, EndpointWork engine, EngineCostModel model, String zone, int parts,
			double partMillis, long nowMillis) {
		double backlogMillis = engine.prefillBacklogMillis(nowMillis);
		double decodeMillis = engine.iterationDecodeMillis(model, 0);
		double runningPrefillMillis = (decodeMillis > 0)
				? engine.iterationPrefillMillis(model, nowMillis) * RUNNING_ITERATION_SHARE : 0;
		double aheadMillis = (parts > 1) ? runningPrefillMillis : backlogMillis;
		double prefillEndMillis = aheadMillis
				+ prefillEnd(partMillis, decodeMillis, model.iterationPrefillMillis(partMillis * parts));
		int slotsInUse = engine.slotsInUse();
		int slots = engine.endpoint().slots();
		double queuedMillis = Math.max(0, slotsInUse + 1 - slots) * QUEUED_REQUEST_MILLIS;
		double firstMillis = prefillEndMillis + queuedMillis + engine.endpoint().warmUpLeftMillis();
		double addedDelayCost = tokenGapDelayCost(engine, model, parts, partMillis, nowMillis);
		addedDelayCost += (parts > 1) ? prefillDelayCost(engine, partMillis, nowMillis) : 0;
		double otherCost = (zone.equals(engine.endpoint().zone())) ? 0 : otherZoneCost(demand, model);
		otherCost += otherSideCost(demand, engine, model, partMillis, parts);
		otherCost += FAILURE_COST * engine.health().failureRate() * demand.weight();
		otherCost += this.random.nextDouble() * maxJitterCost(demand, model);
		double lateness = latenessCost(demand, firstMillis);
		double asFirst = addedDelayCost + otherCost + lateness + firstShortAnswerCost(demand, engine, model)
				+ slotPressureCost(demand, model, slotsInUse, slots)
				+ ownTokenGapCost(demand, engine, model, nowMillis);
		return new Candidate(engine, firstMillis, prefillEndMillis, addedDelayCost, lateness, asFirst,
				addedDelayCost + otherCost + HELPER_DELAY_COST * prefillEndMillis / MILLIS_PER_SECOND);
	}

	/**
	 * Returns the expected cost of work that is not known yet and belongs to the engine's
	 * side.
	 * @param demand demand of the prompt
	 * @param engine the engine with its known work
	 * @param model cost model of the engine
	 * @param partMillis prefill time of the part
	 * @param parts number of parts of the prompt
	 * @return the cost, 0 on an engine of the prompt's own side
	 */
	private double otherSideCost(PromptDemand demand, EndpointWork engine, EngineCostModel model, double partMillis,
			int parts) {
		EndpointId id = engine.endpoint().id();
		if (!this.otherZonesUnknown) {
			return 0;
		}
		if (isShortAnswer(demand, model)) {
			return LATENESS_COST * demand.weight() * this.division.collisionProbability(id);
		}
		double expected = this.division.expectedShortAnswers(id, engine.endpoint().slots());
		double answers = (expected > 0) ? Math.max(expected, shortAnswers(engine, model)) : 0;
		double gapMillis = model.iterationDecodeMillis(1, 0)
				+ Math.min(model.iterationPrefillMillis(partMillis * parts), partMillis);
		return OTHER_SIDE_COST * answers * this.division.shortGapLateness(gapMillis);
	}

	private static long shortAnswers(EndpointWork engine, EngineCostModel model) {
		return engine.items()
			.stream()
			.filter((item) -> item.phase() != WorkPhase.HELPER_PREFILL
					&& DemandKind.of(item.gapTargetMillis(), model) == DemandKind.SHORT_ANSWER)
			.count();
	}

	/**
	 * Returns the engines that are considered for a prompt. For a short answer, these are
	 * a few random ones of each side and zone if the work of other zones is unknown: many
	 * instances that know the same late figures would otherwise choose the same engine.
	 * @param demand demand of the prompt
	 * @param engines all candidates
	 * @param model their cost model
	 * @param zone availability zone of this instance
	 * @return at least one engine unless there are none
	 */
	private List<EndpointWork> considered(PromptDemand demand, List<EndpointWork> engines, EngineCostModel model,
			String zone) {
		if (!this.otherZonesUnknown || !this.division.isDivided() || !isShortAnswer(demand, model)) {
			return engines;
		}
		List<EndpointWork> shuffled = new ArrayList<>(engines);
		for (int index = shuffled.size() - 1; index > 0; index--) {
			Collections.swap(shuffled, index, this.random.nextInt(index + 1));
		}
		int[] counts = new int[2 * DemandKind.values().length];
		return shuffled.stream().filter((each) -> {
			int group = 2 * this.division.side(each.endpoint().id()).ordinal()
					+ (zone.equals(each.endpoint().zone()) ? 1 : 0);
			return ++counts[group] <= CHOICES;
		}).toList();
	}

	private int maxParts(PromptDemand demand, EngineCostModel model) {
		if (!this.otherZonesUnknown || !this.division.isDivided()) {
			return MAX_HELPERS + 1;
		}
		double prefillMillis = model.partPrefillMillis(demand.promptTokens(), 1);
		double timeMillis = Math.max(1, PREFILL_SHARE * demand.firstTokenTimeLeftMillis());
		return (int) Math.max(Math.ceil(prefillMillis / timeMillis),
				MAX_PARTS_PER_FREE_ENGINE * this.division.freeLongEngines());
	}

	/**
	 * Returns the correction of a predicted first token. It does not affect the choice,
	 * for which only differences between engines matter.
	 * @param demand demand of the prompt
	 * @param model cost model of the engines
	 * @param parts number of parts of the prompt
	 * @return the factor, 1 while all work is known
	 */
	private double firstTokenFactor(PromptDemand demand, EngineCostModel model, int parts) {
		boolean corrected = this.otherZonesUnknown && !isShortAnswer(demand, model);
		return (corrected) ? this.firstTokenFactor.applyAsDouble(parts) : 1;
	}

	private double maxJitterCost(PromptDemand demand, EngineCostModel model) {
		if (!this.otherZonesUnknown || !isShortAnswer(demand, model)) {
			return JITTER_COST;
		}
		return (this.division.isDivided()) ? DIVIDED_JITTER_COST : UNKNOWN_WORK_JITTER_COST;
	}

	private double otherZoneCost(PromptDemand demand, EngineCostModel model) {
		if (!this.otherZonesUnknown) {
			return OTHER_ZONE_COST;
		}
		if (!this.division.isDivided()) {
			return UNKNOWN_ZONE_COST;
		}
		if (isShortAnswer(demand, model)) {
			return UNKNOWN_ZONE_SHORT_COST;
		}
		return (this.division.isLongWorkKnown()) ? UNKNOWN_ZONE_COST : UNKNOWN_ZONE_LONG_COST * demand.weight();
	}

	private static double prefillEnd(double prefillMillis, double decodeMillis, double iterationPrefillMillis) {
		double iterations = (decodeMillis > 0) ? Math.ceil(prefillMillis / iterationPrefillMillis) : 0;
		return decodeMillis / 2 + prefillMillis + iterations * decodeMillis;
	}

	private static double latenessCost(PromptDemand demand, double firstMillis) {
		double target = Math.max(1, demand.firstTokenTimeLeftMillis());
		double share = firstMillis / target;
		double latenessCost = LATENESS_COST * ramp(share, FIRST_SAFE_SHARE, FIRST_LATE_SHARE);
		double deadlineMissed = ramp(firstMillis / Math.max(1, demand.timeLeftMillis()), 0.8, 1.0);
		return demand.weight()
				* (latenessCost + (1 - LATENESS_COST) * deadlineMissed + LATENCY_COST * Math.min(share, 2));
	}

	/**
	 * Returns the cost of the inter-token gaps that a part adds to answers of other
	 * requests. Prompts that are being prefilled finish before an ordinary part does, so
	 * that only the part itself can delay their answers.
	 * @param engine the engine with its work
	 * @param model cost model of the engine
	 * @param parts number of parts of the prompt
	 * @param partMillis prefill time of the part
	 * @param nowMillis the current time
	 * @return the cost
	 */
	private static double tokenGapDelayCost(EndpointWork engine, EngineCostModel model, int parts, double partMillis,
			long nowMillis) {
		double decodeMillis = engine.iterationDecodeMillis(model, 0);
		double backlogMillis = engine.prefillBacklogMillis(nowMillis);
		double knownPrefillMillis = engine.iterationPrefillMillis(model, nowMillis);
		double addedPrefillMillis = model.iterationPrefillMillis(partMillis * parts);
		double gapBeforeMillis = decodeMillis + knownPrefillMillis;
		double gapAfterMillis = decodeMillis
				+ Math.min(Math.max(knownPrefillMillis, addedPrefillMillis), backlogMillis + partMillis);
		double aloneGapMillis = model.iterationDecodeMillis(1, 0) + Math.min(addedPrefillMillis, partMillis);
		double addedDelayCost = 0;
		for (WorkItem item : engine.items()) {
			if (item.gapTargetMillis() > 0 && item.phase() == WorkPhase.DECODE) {
				addedDelayCost += item.weight() * LATENESS_COST
						* (tokenGapLateness(gapAfterMillis, item.gapTargetMillis())
								- tokenGapLateness(gapBeforeMillis, item.gapTargetMillis()));
			}
			else if (item.gapTargetMillis() > 0 && item.phase() == WorkPhase.PREFILL) {
				addedDelayCost += item.weight() * LATENESS_COST
						* tokenGapLateness(aloneGapMillis, item.gapTargetMillis());
			}
		}
		return addedDelayCost;
	}

	/**
	 * Returns the cost of delaying the prompts that are being prefilled on the engine: a
	 * new part of a prompt that several engines prefill is processed before all of them.
	 * @param engine the engine with its work
	 * @param partMillis prefill time of the part
	 * @param nowMillis the current time
	 * @return the cost
	 */
	private static double prefillDelayCost(EndpointWork engine, double partMillis, long nowMillis) {
		double addedDelayCost = 0;
		for (WorkItem item : engine.items()) {
			double prefillMillis = item.remainingPrefillMillis(nowMillis);
			if (prefillMillis > 0 && item.firstTokenDueMillis() > nowMillis) {
				double dueInMillis = item.firstTokenDueMillis() - nowMillis;
				double expectedMillis = Math.max(item.expectedFirstTokenMillis() - nowMillis, prefillMillis);
				addedDelayCost += item.weight() * LATENESS_COST
						* (ramp((expectedMillis + partMillis) / dueInMillis, FIRST_SAFE_SHARE, FIRST_LATE_SHARE)
								- ramp(expectedMillis / dueInMillis, FIRST_SAFE_SHARE, FIRST_LATE_SHARE));
			}
		}
		return addedDelayCost;
	}

	/**
	 * Returns the cost of the inter-token gaps in the prompt's own answer: prompts with a
	 * larger gap target are still being prefilled after its first token.
	 * @param demand demand of the prompt
	 * @param engine the engine with its work
	 * @param model cost model of the engine
	 * @param nowMillis the current time
	 * @return the cost
	 */
	private static double ownTokenGapCost(PromptDemand demand, EndpointWork engine, EngineCostModel model,
			long nowMillis) {
		double laterPrefillMillis = 0;
		double longestPrefillMillis = 0;
		for (WorkItem item : engine.items()) {
			if (item.gapTargetMillis() > demand.gapTargetMillis()) {
				laterPrefillMillis += item.remainingPrefillMillis(nowMillis);
				longestPrefillMillis = Math.max(longestPrefillMillis,
						model.iterationPrefillMillis(item.totalPrefillMillis()));
			}
		}
		double gapMillis = engine.iterationDecodeMillis(model, 1) + Math.min(laterPrefillMillis, longestPrefillMillis);
		return demand.weight() * LATENESS_COST * tokenGapLateness(gapMillis, demand.gapTargetMillis());
	}

	private static double tokenGapLateness(double gapMillis, long gapTargetMillis) {
		return (gapTargetMillis == 0) ? 0 : ramp(gapMillis / gapTargetMillis, GAP_SAFE_SHARE, GAP_LATE_SHARE);
	}

	private double firstShortAnswerCost(PromptDemand demand, EndpointWork engine, EngineCostModel model) {
		if (this.otherZonesUnknown) {
			return 0;
		}
		boolean hasShortAnswer = shortAnswers(engine, model) > 0;
		return (isShortAnswer(demand, model) && !hasShortAnswer) ? FIRST_SHORT_ANSWER_COST : 0;
	}

	private static double slotPressureCost(PromptDemand demand, EngineCostModel model, int slotsInUse, int slots) {
		double share = (slotsInUse + 1.0) / slots;
		double coLocationGain = isShortAnswer(demand, model) ? 0 : CO_LOCATION_GAIN * share;
		return SLOT_PRESSURE_COST * Math.max(0, share - COMFORTABLE_SLOT_SHARE) - coLocationGain;
	}

	private static boolean isShortAnswer(PromptDemand demand, EngineCostModel model) {
		return DemandKind.of(demand.gapTargetMillis(), model) == DemandKind.SHORT_ANSWER;
	}

	private static double ramp(double value, double from, double to) {
		return Math.min(1, Math.max(0, (value - from) / (to - from)));
	}

	private record Candidate(EndpointWork engine, double firstTokenMillis, double prefillEndMillis,
			double addedDelayCost, double latenessCost, double costAsFirst, double costAsHelper) {

		boolean hasMemoryFor(long tokens, EngineCostModel model) {
			return this.engine.memoryTokens() + tokens <= model.memoryTokens();
		}

		boolean mayHelp() {
			return this.engine.helperPrefills() < MAX_HELPER_SHARE * this.engine.endpoint().slots();
		}

	}

}
