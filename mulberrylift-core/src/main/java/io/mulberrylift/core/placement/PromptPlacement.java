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

	private static final int[] PARTS = { 1, 2, 3, 4, 6, 8, 11, 14, MAX_HELPERS + 1 };

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
	private static final double LATE_LOSS = 0.75;

	/**
	 * Loss per share of the target used, so that of two timely choices the faster wins.
	 */
	private static final double SPEED_WEIGHT = 0.1;

	/**
	 * Loss of opening an engine without short answers to one, in units of a short answer.
	 */
	private static final double OPENING_LOSS = 0.25;

	/**
	 * Gain per share of an engine's slots in use for answers that bear pauses: beside
	 * short answers, few long parts are read.
	 */
	private static final double COMPANY_GAIN = 1.0;

	/**
	 * Loss per share of slots beyond the comfortable one: arrivals not yet known fill the
	 * rest.
	 */
	private static final double CROWDING_LOSS = 3.0;

	private static final double COMFORTABLE_SLOT_SHARE = 0.8;

	/** Loss per share of failed attempts at an engine. */
	private static final double FAILURE_LOSS = 1.5;

	/** Loss of sending work to another availability zone; its bytes are few. */
	private static final double OTHER_ZONE_LOSS = 0.005;

	/** The same where the work of other zones is not known. */
	private static final double UNKNOWN_ZONE_LOSS = 0.4;

	/** Pause targets up to this one mark short answers, in milliseconds. */
	private static final long SHORT_GAP_MILLIS = 300;

	/**
	 * Time that one queued request adds when an engine's slots are full, in milliseconds.
	 */
	private static final double QUEUED_MILLIS = 150;

	/**
	 * Memory beyond the even share that an engine must have, for rounding up to blocks.
	 */
	private static final long SPREAD_MARGIN_TOKENS = 1024;

	/** Least reading time of a part that is worth another engine, in milliseconds. */
	private static final double MIN_PART_MILLIS = 60;

	/** Loss per second until a helper has read its part, in the order of helpers. */
	private static final double HELPER_DELAY_LOSS = 3.0;

	/** Share of the running pass's reading that a new part is taken to wait for. */
	private static final double RUNNING_PASS_SHARE = 1.0;

	/** Weight from which a prompt is large: 56,000 tokens. */
	private static final double LARGE_WEIGHT = 4;

	/** Large prompts that may be refused for each one that is taken. */
	private static final double REFUSED_PER_ADMITTED = 0.5;

	/** Refusals that may follow one another. */
	private static final double MAX_REFUSAL_CREDIT = 3;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Share of the prompts that an engine may help with; parts not yet known take the
	 * rest.
	 */
	private static final double HELPING_SHARE = 0.5;

	/** Amount of random choice between nearly equal engines. */
	private static final double JITTER_LOSS = 0.05;

	private final RandomGenerator random;

	private double refusalCredit = MAX_REFUSAL_CREDIT;

	private double otherZoneLoss = OTHER_ZONE_LOSS;

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
		this.otherZoneLoss = (unknown) ? UNKNOWN_ZONE_LOSS : OTHER_ZONE_LOSS;
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
	public Optional<Placement> place(PromptDemand demand, List<EndpointWork> engines, EngineModel model, String zone,
			long nowMillis) {
		Optional<Placement> best = Optional.empty();
		for (int parts : PARTS) {
			if (parts > 1 && (parts > engines.size() || worthless(demand, model, parts))) {
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
	public Optional<Placement> placeSpread(PromptDemand demand, List<EndpointWork> engines, EngineModel model,
			String zone, long nowMillis) {
		Optional<Placement> best = Optional.empty();
		for (int parts : PARTS) {
			long each = demand.memoryTokens() / parts + SPREAD_MARGIN_TOKENS;
			List<EndpointWork> roomy = engines.stream()
				.filter((engine) -> engine.memoryTokens() + each <= model.memoryTokens())
				.toList();
			if (parts < 2 || roomy.size() < parts) {
				continue;
			}
			PromptDemand part = new PromptDemand(demand.promptTokens(), 0, demand.targetLeftMillis(),
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
		double late = lateness(demand, placement.expectedFirstMillis());
		boolean worthwhile = placement.cost() - late <= (1 + 2 * SPEED_WEIGHT) * demand.weight() - late;
		if (worthwhile || this.refusalCredit < 1) {
			this.refusalCredit = Math.min(MAX_REFUSAL_CREDIT, this.refusalCredit + REFUSED_PER_ADMITTED);
			return true;
		}
		this.refusalCredit--;
		return false;
	}

	private static boolean worthless(PromptDemand demand, EngineModel model, int parts) {
		return model.readMillis(demand.promptTokens(), parts) < MIN_PART_MILLIS;
	}

	private Optional<Placement> place(PromptDemand demand, List<EndpointWork> engines, EngineModel model, String zone,
			int parts, long memoryTokens, long nowMillis) {
		double partMillis = model.readMillis(demand.promptTokens(), parts);
		List<Candidate> candidates = new ArrayList<>(engines.size());
		for (EndpointWork engine : engines) {
			candidates.add(candidate(demand, engine, model, zone, parts, partMillis, nowMillis));
		}
		Optional<Candidate> first = candidates.stream()
			.filter((candidate) -> candidate.holds(memoryTokens, model))
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
		double firstMillis = first.get().firstMillis();
		double cost = first.get().costAsFirst() - first.get().ownLateness();
		for (Candidate helper : helpers) {
			firstMillis = Math.max(firstMillis, helper.readEndMillis());
			cost += helper.harm();
		}
		cost += lateness(demand, firstMillis);
		List<ForwardEndpoint> endpoints = helpers.stream().map((helper) -> helper.engine().endpoint()).toList();
		return Optional.of(new Placement(first.get().engine().endpoint(), endpoints, partMillis, firstMillis, cost));
	}

	private Candidate candidate(PromptDemand demand, EndpointWork engine, EngineModel model, String zone, int parts,
			double partMillis, long nowMillis) {
		double backlog = engine.backlogMillis(nowMillis);
		double pass = engine.passMillis(model, 0);
		double running = (pass > 0) ? engine.passReadMillis(model, nowMillis) * RUNNING_PASS_SHARE : 0;
		double ahead = (parts > 1) ? running : backlog;
		double readEnd = ahead + readEnd(partMillis, pass, model.passReadMillis(partMillis * parts));
		int taken = engine.slotsTaken();
		int slots = engine.endpoint().slots();
		double queued = Math.max(0, taken + 1 - slots) * QUEUED_MILLIS;
		double firstMillis = readEnd + queued + engine.endpoint().coldMillis();
		double harm = gapHarm(engine, model, parts, partMillis, nowMillis);
		harm += (parts > 1) ? readerHarm(engine, partMillis, nowMillis) : 0;
		double extra = (zone.equals(engine.endpoint().zone())) ? 0 : this.otherZoneLoss;
		extra += FAILURE_LOSS * engine.health().failureRate() * demand.weight();
		extra += this.random.nextDouble() * JITTER_LOSS;
		double lateness = lateness(demand, firstMillis);
		double asFirst = harm + extra + lateness + opening(demand, engine) + crowding(demand, taken, slots)
				+ ownGapLoss(demand, engine, model, nowMillis);
		return new Candidate(engine, firstMillis, readEnd, harm, lateness, asFirst,
				harm + extra + HELPER_DELAY_LOSS * readEnd / MILLIS_PER_SECOND);
	}

	private static double readEnd(double readMillis, double passMillis, double perPassMillis) {
		double passes = (passMillis > 0) ? Math.ceil(readMillis / perPassMillis) : 0;
		return passMillis / 2 + readMillis + passes * passMillis;
	}

	private static double lateness(PromptDemand demand, double firstMillis) {
		double target = Math.max(1, demand.targetLeftMillis());
		double share = firstMillis / target;
		double late = LATE_LOSS * ramp(share, FIRST_SAFE_SHARE, FIRST_LATE_SHARE);
		double hopeless = ramp(firstMillis / Math.max(1, demand.timeLeftMillis()), 0.8, 1.0);
		return demand.weight() * (late + (1 - LATE_LOSS) * hopeless + SPEED_WEIGHT * Math.min(share, 2));
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
	private static double gapHarm(EndpointWork engine, EngineModel model, int parts, double partMillis,
			long nowMillis) {
		double pass = engine.passMillis(model, 0);
		double backlog = engine.backlogMillis(nowMillis);
		double known = engine.passReadMillis(model, nowMillis);
		double added = model.passReadMillis(partMillis * parts);
		double before = pass + known;
		double after = pass + Math.min(Math.max(known, added), backlog + partMillis);
		double alone = model.passMillis(1, 0) + Math.min(added, partMillis);
		double harm = 0;
		for (WorkItem item : engine.items()) {
			if (item.gapTargetMillis() > 0 && item.phase() == WorkPhase.WRITING) {
				harm += item.weight() * LATE_LOSS
						* (gapLate(after, item.gapTargetMillis()) - gapLate(before, item.gapTargetMillis()));
			}
			else if (item.gapTargetMillis() > 0 && item.phase() == WorkPhase.READING) {
				harm += item.weight() * LATE_LOSS * gapLate(alone, item.gapTargetMillis());
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
	private static double readerHarm(EndpointWork engine, double partMillis, long nowMillis) {
		double harm = 0;
		for (WorkItem item : engine.items()) {
			double reading = item.remainingReadMillis(nowMillis);
			if (reading > 0 && item.dueMillis() > nowMillis) {
				double left = item.dueMillis() - nowMillis;
				double first = Math.max(item.expectedFirstMillis() - nowMillis, reading);
				harm += item.weight() * LATE_LOSS
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
	private static double ownGapLoss(PromptDemand demand, EndpointWork engine, EngineModel model, long nowMillis) {
		double behind = 0;
		double longest = 0;
		for (WorkItem item : engine.items()) {
			if (item.gapTargetMillis() > demand.gapTargetMillis()) {
				behind += item.remainingReadMillis(nowMillis);
				longest = Math.max(longest, model.passReadMillis(item.wholeReadMillis()));
			}
		}
		double pause = engine.passMillis(model, 1) + Math.min(behind, longest);
		return demand.weight() * LATE_LOSS * gapLate(pause, demand.gapTargetMillis());
	}

	private static double gapLate(double pauseMillis, long gapTargetMillis) {
		return (gapTargetMillis == 0) ? 0 : ramp(pauseMillis / gapTargetMillis, GAP_SAFE_SHARE, GAP_LATE_SHARE);
	}

	private static double opening(PromptDemand demand, EndpointWork engine) {
		boolean opened = engine.items()
			.stream()
			.anyMatch((item) -> item.gapTargetMillis() > 0 && item.gapTargetMillis() <= SHORT_GAP_MILLIS
					&& item.phase() != WorkPhase.HELPING);
		return (isShortAnswer(demand) && !opened) ? OPENING_LOSS : 0;
	}

	private static double crowding(PromptDemand demand, int taken, int slots) {
		double share = (taken + 1.0) / slots;
		double company = isShortAnswer(demand) ? 0 : COMPANY_GAIN * share;
		return CROWDING_LOSS * Math.max(0, share - COMFORTABLE_SLOT_SHARE) - company;
	}

	private static boolean isShortAnswer(PromptDemand demand) {
		return demand.gapTargetMillis() > 0 && demand.gapTargetMillis() <= SHORT_GAP_MILLIS;
	}

	private static double ramp(double value, double from, double to) {
		return Math.min(1, Math.max(0, (value - from) / (to - from)));
	}

	private record Candidate(EndpointWork engine, double firstMillis, double readEndMillis, double harm,
			double ownLateness, double costAsFirst, double costAsHelper) {

		boolean holds(long tokens, EngineModel model) {
			return this.engine.memoryTokens() + tokens <= model.memoryTokens();
		}

		boolean mayHelp() {
			return this.engine.helping() < HELPING_SHARE * this.engine.endpoint().slots();
		}

	}

}
