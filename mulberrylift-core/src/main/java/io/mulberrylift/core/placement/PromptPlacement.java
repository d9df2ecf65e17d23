package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.forwarding.ForwardEndpoint;

/**
 * Places prompts on engines by the benefit that each choice is predicted to lose.
 *
 * <p>
 * For each number of parts it takes the engines where reading a part costs least: the
 * lateness of the prompt itself, the pauses that the part adds to answers being written
 * there and the delay of prompts that wait there. Engines that write short answers are
 * filled before others are opened to them, which keeps the rest free for long prompts; so
 * the shares of both follow the load without coordination. Not safe for use by several
 * threads; owned by the reducer.
 * </p>
 */
public final class PromptPlacement {

	/**
	 * Most engines that may read parts of one prompt beside the first; a limit of the
	 * engines.
	 */
	public static final int MAX_HELPERS = 16;

	private static final int[] PART_COUNTS = { 1, 2, 3, 4, 6, 8, 11, 14, MAX_HELPERS + 1 };

	/** Share of a pause target at which lateness begins to be likely. */
	private static final double GAP_SAFE_SHARE = 0.85;

	/** Share of a pause target at which lateness is certain. */
	private static final double GAP_LATE_SHARE = 1.05;

	/**
	 * Share of the time to a first token's target at which lateness begins to be likely.
	 */
	private static final double FIRST_SAFE_SHARE = 0.35;

	/** Share of the time to a first token's target at which lateness is certain. */
	private static final double FIRST_LATE_SHARE = 1.0;

	/** Share of a request's benefit that is lost when it is late. */
	private static final double LATENESS_COST = 0.75;

	/**
	 * Loss per share of the target used, so that of two timely choices the faster wins.
	 */
	private static final double LATENCY_COST = 0.1;

	/**
	 * Loss of opening an engine without short answers to one, in units of a short answer.
	 */
	private static final double FIRST_SHORT_ANSWER_COST = 0.25;

	/**
	 * Gain per share of an engine's slots in use for answers that bear pauses: beside
	 * short answers, few long parts are read.
	 */
	private static final double CO_LOCATION_GAIN = 1.0;

	/**
	 * Loss per share of slots beyond the comfortable one: arrivals not yet known fill the
	 * rest.
	 */
	private static final double SLOT_PRESSURE_COST = 3.0;

	private static final double COMFORTABLE_SLOT_SHARE = 0.8;

	/** Loss per share of failed attempts at an engine. */
	private static final double FAILURE_COST = 1.5;

	/** Loss of sending work to another availability zone; its bytes are few. */
	private static final double OTHER_ZONE_COST = 0.005;

	/** The same where the work of other zones is not known. */
	private static final double UNKNOWN_ZONE_COST = 0.4;

	/** Pause targets up to this one mark short answers, in milliseconds. */
	private static final long SHORT_GAP_MILLIS = 300;

	/**
	 * Time that one queued request adds when an engine's slots are full, in milliseconds.
	 */
	private static final double QUEUED_REQUEST_MILLIS = 150;

	/**
	 * Memory beyond the even share that an engine must have, for rounding up to blocks.
	 */
	private static final long MEMORY_MARGIN_TOKENS = 1024;

	/** Least reading time of a part that is worth another engine, in milliseconds. */
	private static final double MIN_PART_MILLIS = 60;

	/** Loss per second until a helper has read its part, in the order of helpers. */
	private static final double HELPER_DELAY_COST = 3.0;

	/** Share of the running pass's reading that a new part is taken to wait for. */
	private static final double RUNNING_ITERATION_SHARE = 1.0;

	/** Weight from which a prompt is large: 56,000 tokens. */
	private static final double LARGE_WEIGHT = 4;

	/** Large prompts that may be refused for each one that is taken. */
	private static final double REFUSAL_CREDIT_PER_ADMISSION = 0.5;

	/** Refusals that may follow one another. */
	private static final double MAX_REFUSAL_CREDIT = 3;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Share of the prompts that an engine may help with; parts not yet known take the
	 * rest.
	 */
	private static final double MAX_HELPER_SHARE = 0.5;

	/** Amount of random choice between nearly equal engines. */
	private static final double JITTER_COST = 0.05;

	private final RandomGenerator random;

	private double refusalCredit = MAX_REFUSAL_CREDIT;

	private double otherZoneCost = OTHER_ZONE_COST;

	/**
	 * Creates the policy.
	 * @param random breaks ties
	 */
	public PromptPlacement(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Sets whether the work of other zones is known.
	 * @param unknown true if it is not
	 */
	public void setOtherZonesUnknown(boolean unknown) {
		this.otherZoneCost = (unknown) ? UNKNOWN_ZONE_COST : OTHER_ZONE_COST;
	}

	/**
	 * Chooses where a prompt goes.
	 * @param demand what it asks
	 * @param engines the engines that may be used with their work
	 * @param model their cost model
	 * @param zone availability zone of this instance
	 * @param nowMillis the current time
	 * @return the best choice, empty when no engine has the memory for the prompt
	 */
	public Optional<Placement> place(PromptDemand demand, List<EndpointWork> engines, EngineCostModel model,
			String zone, long nowMillis) {
		Optional<Placement> best = Optional.empty();
		for (int parts : PART_COUNTS) {
			if (parts > 1 && (parts > engines.size() || isTooSmallToSplit(demand, model, parts))) {
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
	 * Chooses engines whose memory holds a prompt together when no single one does.
	 * @param demand what the prompt asks
	 * @param engines the engines that may be used with their work
	 * @param model their cost model
	 * @param zone availability zone of this instance
	 * @param nowMillis the current time
	 * @return the best choice, empty when the memory of all engines together is too small
	 */
	public Optional<Placement> placeAcrossMemories(PromptDemand demand, List<EndpointWork> engines,
			EngineCostModel model, String zone, long nowMillis) {
		Optional<Placement> best = Optional.empty();
		for (int parts : PART_COUNTS) {
			long each = demand.memoryTokens() / parts + MEMORY_MARGIN_TOKENS;
			List<EndpointWork> roomy = engines.stream()
				.filter((engine) -> engine.memoryTokens() + each <= model.memoryTokens())
				.toList();
			if (parts < 2 || roomy.size() < parts) {
				continue;
			}
			PromptDemand part = new PromptDemand(demand.promptTokens(), 0, demand.firstTokenTimeLeftMillis(),
					demand.timeLeftMillis(), demand.gapTargetMillis());
			Optional<Placement> candidate = place(part, roomy, model, zone, parts, each, nowMillis);
			if (candidate.isPresent() && (best.isEmpty() || candidate.get().cost() < best.get().cost())) {
				best = candidate;
			}
		}
		return best;
	}

	/**
	 * Decides whether a prompt is taken. A large one that costs others more than it earns
	 * is refused, but never more than a share of the large ones, so that no size is shut
	 * out.
	 * @param demand what it asks
	 * @param placement the best choice for it
	 * @return false if it should be refused and come back later
	 */
	public boolean admits(PromptDemand demand, Placement placement) {
		if (demand.weight() < LARGE_WEIGHT) {
			return true;
		}
		double late = latenessCost(demand, placement.expectedFirstTokenMillis());
		boolean worthwhile = placement.cost() - late <= (1 + 2 * LATENCY_COST) * demand.weight() - late;
		if (worthwhile || this.refusalCredit < 1) {
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
		for (EndpointWork engine : engines) {
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
		List<ForwardEndpoint> endpoints = helpers.stream().map((helper) -> helper.engine().endpoint()).toList();
		return Optional.of(new Placement(first.get().engine().endpoint(), endpoints, partMillis, firstMillis, cost));
	}

	private Candidate candidate(PromptDemand demand, EndpointWork engine, EngineCostModel model, String zone, int parts,
			double partMillis, long nowMillis) {
		double backlog = engine.prefillBacklogMillis(nowMillis);
		double pass = engine.iterationDecodeMillis(model, 0);
		double running = (pass > 0) ? engine.iterationPrefillMillis(model, nowMillis) * RUNNING_ITERATION_SHARE : 0;
		double ahead = (parts > 1) ? running : backlog;
		double readEnd = ahead + prefillEnd(partMillis, pass, model.iterationPrefillMillis(partMillis * parts));
		int taken = engine.slotsInUse();
		int slots = engine.endpoint().slots();
		double queued = Math.max(0, taken + 1 - slots) * QUEUED_REQUEST_MILLIS;
		double firstMillis = readEnd + queued + engine.endpoint().warmUpLeftMillis();
		double harm = tokenGapDelayCost(engine, model, parts, partMillis, nowMillis);
		harm += (parts > 1) ? prefillDelayCost(engine, partMillis, nowMillis) : 0;
		double extra = (zone.equals(engine.endpoint().zone())) ? 0 : this.otherZoneCost;
		extra += FAILURE_COST * engine.health().failureRate() * demand.weight();
		extra += this.random.nextDouble() * JITTER_COST;
		double lateness = latenessCost(demand, firstMillis);
		double asFirst = harm + extra + lateness + firstShortAnswerCost(demand, engine)
				+ slotPressureCost(demand, taken, slots) + ownTokenGapCost(demand, engine, model, nowMillis);
		return new Candidate(engine, firstMillis, readEnd, harm, lateness, asFirst,
				harm + extra + HELPER_DELAY_COST * readEnd / MILLIS_PER_SECOND);
	}

	private static double prefillEnd(double readMillis, double passMillis, double perPassMillis) {
		double passes = (passMillis > 0) ? Math.ceil(readMillis / perPassMillis) : 0;
		return passMillis / 2 + readMillis + passes * passMillis;
	}

	private static double latenessCost(PromptDemand demand, double firstMillis) {
		double target = Math.max(1, demand.firstTokenTimeLeftMillis());
		double share = firstMillis / target;
		double late = LATENESS_COST * ramp(share, FIRST_SAFE_SHARE, FIRST_LATE_SHARE);
		double hopeless = ramp(firstMillis / Math.max(1, demand.timeLeftMillis()), 0.8, 1.0);
		return demand.weight() * (late + (1 - LATENESS_COST) * hopeless + LATENCY_COST * Math.min(share, 2));
	}

	/**
	 * Returns the loss by pauses that a part adds to answers of others. Prompts that are
	 * being read finish before an ordinary part does, so that only the part itself can
	 * fall into their answers.
	 * @param engine the engine with its work
	 * @param model cost model of the engine
	 * @param parts number of parts of the prompt
	 * @param partMillis reading time of the part
	 * @param nowMillis the current time
	 * @return the loss
	 */
	private static double tokenGapDelayCost(EndpointWork engine, EngineCostModel model, int parts, double partMillis,
			long nowMillis) {
		double pass = engine.iterationDecodeMillis(model, 0);
		double backlog = engine.prefillBacklogMillis(nowMillis);
		double known = engine.iterationPrefillMillis(model, nowMillis);
		double added = model.iterationPrefillMillis(partMillis * parts);
		double before = pass + known;
		double after = pass + Math.min(Math.max(known, added), backlog + partMillis);
		double alone = model.iterationDecodeMillis(1, 0) + Math.min(added, partMillis);
		double harm = 0;
		for (WorkItem item : engine.items()) {
			if (item.gapTargetMillis() > 0 && item.phase() == WorkPhase.DECODE) {
				harm += item.weight() * LATENESS_COST * (tokenGapLateness(after, item.gapTargetMillis())
						- tokenGapLateness(before, item.gapTargetMillis()));
			}
			else if (item.gapTargetMillis() > 0 && item.phase() == WorkPhase.PREFILL) {
				harm += item.weight() * LATENESS_COST * tokenGapLateness(alone, item.gapTargetMillis());
			}
		}
		return harm;
	}

	/**
	 * Returns the loss by delay of the prompts that are being read here: a new part of a
	 * prompt that several engines read goes ahead of all of them.
	 * @param engine the engine with its work
	 * @param partMillis reading time of the part
	 * @param nowMillis the current time
	 * @return the loss
	 */
	private static double prefillDelayCost(EndpointWork engine, double partMillis, long nowMillis) {
		double harm = 0;
		for (WorkItem item : engine.items()) {
			double reading = item.remainingPrefillMillis(nowMillis);
			if (reading > 0 && item.firstTokenDueMillis() > nowMillis) {
				double left = item.firstTokenDueMillis() - nowMillis;
				double first = Math.max(item.expectedFirstTokenMillis() - nowMillis, reading);
				harm += item.weight() * LATENESS_COST
						* (ramp((first + partMillis) / left, FIRST_SAFE_SHARE, FIRST_LATE_SHARE)
								- ramp(first / left, FIRST_SAFE_SHARE, FIRST_LATE_SHARE));
			}
		}
		return harm;
	}

	/**
	 * Returns the loss by pauses in the answer itself: prompts of longer answers' targets
	 * are read on after its first token.
	 * @param demand the prompt
	 * @param engine the engine with its work
	 * @param model cost model of the engine
	 * @param nowMillis the current time
	 * @return the loss
	 */
	private static double ownTokenGapCost(PromptDemand demand, EndpointWork engine, EngineCostModel model,
			long nowMillis) {
		double behind = 0;
		double longest = 0;
		for (WorkItem item : engine.items()) {
			if (item.gapTargetMillis() > demand.gapTargetMillis()) {
				behind += item.remainingPrefillMillis(nowMillis);
				longest = Math.max(longest, model.iterationPrefillMillis(item.totalPrefillMillis()));
			}
		}
		double pause = engine.iterationDecodeMillis(model, 1) + Math.min(behind, longest);
		return demand.weight() * LATENESS_COST * tokenGapLateness(pause, demand.gapTargetMillis());
	}

	private static double tokenGapLateness(double pauseMillis, long gapTargetMillis) {
		return (gapTargetMillis == 0) ? 0 : ramp(pauseMillis / gapTargetMillis, GAP_SAFE_SHARE, GAP_LATE_SHARE);
	}

	private static double firstShortAnswerCost(PromptDemand demand, EndpointWork engine) {
		boolean opened = engine.items()
			.stream()
			.anyMatch((item) -> item.gapTargetMillis() > 0 && item.gapTargetMillis() <= SHORT_GAP_MILLIS
					&& item.phase() != WorkPhase.HELPER_PREFILL);
		return (isShortAnswer(demand) && !opened) ? FIRST_SHORT_ANSWER_COST : 0;
	}

	private static double slotPressureCost(PromptDemand demand, int taken, int slots) {
		double share = (taken + 1.0) / slots;
		double company = isShortAnswer(demand) ? 0 : CO_LOCATION_GAIN * share;
		return SLOT_PRESSURE_COST * Math.max(0, share - COMFORTABLE_SLOT_SHARE) - company;
	}

	private static boolean isShortAnswer(PromptDemand demand) {
		return demand.gapTargetMillis() > 0 && demand.gapTargetMillis() <= SHORT_GAP_MILLIS;
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
