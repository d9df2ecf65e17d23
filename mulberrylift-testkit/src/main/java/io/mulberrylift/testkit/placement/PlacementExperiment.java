package io.mulberrylift.testkit.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.gossip.DemandFigure;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.DemandKind;
import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.EngineCostModel;
import io.mulberrylift.core.placement.EngineDivision;
import io.mulberrylift.core.placement.EngineRoom;
import io.mulberrylift.core.placement.ObservedFirstTokens;
import io.mulberrylift.core.placement.Placement;
import io.mulberrylift.core.placement.PromptDemand;
import io.mulberrylift.core.placement.PromptPlacement;
import io.mulberrylift.core.placement.RequestWork;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Simulates one load with one placement rule in virtual time. Instances learn of each
 * other's placements after a delay; in a deployment of several availability zones, only
 * of those in their own zone, as summaries by endpoint. Engines reject requests that list
 * too many helpers and refuse reservations for which they have no free memory. A caller
 * retries a refused prompt once. Equal arguments give equal results.
 *
 * <p>
 * Not safe for use by several threads. Each object runs once.
 * </p>
 */
public final class PlacementExperiment {

	/** Cost model of the users' engines. */
	public static final EngineCostModel MODEL = DeploymentShape.PRAIRIE.model();

	/** Delay until the other instances receive an update, in milliseconds. */
	private static final double PEER_UPDATE_DELAY_MILLIS = 60;

	/**
	 * Interval between summaries in deployments of several availability zones, for each
	 * peer of the own zone: all messages share a byte rate.
	 */
	private static final double SUMMARY_INTERVAL_PER_PEER_MILLIS = 1700 / 24.0;

	/** Interval between full states, which contain the demand. */
	private static final double FULL_STATE_INTERVAL_MILLIS = 1800;

	/** Instances of other zones that a full state goes to. */
	private static final int OTHER_ZONE_TARGETS = 2;

	/** Time after which a caller retries a refused prompt. */
	private static final double CALLER_RETRY_MILLIS = 600;

	private static final int MILLIS_PER_SECOND = 1000;

	private static final String SERVICE = "engines";

	private final DeploymentShape shape;

	private final EngineCostModel model;

	private final long lengthMillis;

	private final Random random;

	/** Separate, so that the load does not depend on the number of retries. */
	private final Random retryRandom;

	private final List<ForwardEndpoint> endpoints = new ArrayList<>();

	private final Map<EndpointId, IterationEngine> engines = new HashMap<>();

	private final List<WorkTable> tables = new ArrayList<>();

	private final List<ObservedFirstTokens> firstTokens = new ArrayList<>();

	private final List<EngineRoom> rooms = new ArrayList<>();

	/** Separate, so that the load does not depend on messages. */
	private final Random messageRandom;

	private final PlacementRule rule;

	private final List<PlacementRule.Placer> placers = new ArrayList<>();

	private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();

	private final Map<SimulatedPrompt, RunningPrompt> runningPrompts = new HashMap<>();

	private final Map<PromptKind, double[]> benefitSums = new EnumMap<>(PromptKind.class);

	private final List<PromptOutcome> outcomes = new ArrayList<>();

	private long nextEventOrder;

	private long nextRequest;

	/**
	 * Creates an experiment.
	 * @param shape the deployment
	 * @param rule the placement rule
	 * @param seed seed of the load and of random placement choices
	 * @param lengthMillis time during which prompts arrive
	 */
	public PlacementExperiment(DeploymentShape shape, PlacementRule rule, long seed, long lengthMillis) {
		this.shape = Objects.requireNonNull(shape, "shape");
		this.model = shape.model();
		this.lengthMillis = lengthMillis;
		this.random = new Random(seed);
		this.retryRandom = new Random(seed + 1);
		this.messageRandom = new Random(seed + 2);
		this.rule = Objects.requireNonNull(rule, "rule");
		for (int index = 0; index < shape.engines(); index++) {
			ForwardEndpoint endpoint = new ForwardEndpoint(new EndpointId("engine-" + index), SERVICE,
					"10.0.0." + (index + 1), 8080, zone(index), shape.slots(), false, 0);
			this.endpoints.add(endpoint);
			this.engines.put(endpoint.id(), new IterationEngine(this.model, shape.slots()));
		}
		for (int index = 0; index < shape.instances(); index++) {
			this.tables.add(new WorkTable());
			this.rooms.add(newRoom());
			this.firstTokens.add(new ObservedFirstTokens());
			this.placers.add(rule.placer(seed * MILLIS_PER_SECOND + index, zone(index),
					shape.zones() > 1 && !rule.isAllKnowing()));
		}
		for (PromptKind kind : PromptKind.values()) {
			this.benefitSums.put(kind, new double[2]);
		}
	}

	private EngineRoom newRoom() {
		EngineRoom room = new EngineRoom();
		room.setLiveInstances(this.shape.instances());
		room.setPartialView(this.shape.zones() > 1);
		return room;
	}

	/**
	 * Schedules a loss of what half of the instances know of the demand and of others'
	 * work, as by a restart.
	 * @param atMillis when it happens
	 */
	public void forgetAtHalfOfInstances(long atMillis) {
		schedule(atMillis, (now) -> {
			for (int index = 0; index < this.rooms.size(); index += 2) {
				this.rooms.set(index, newRoom());
				this.firstTokens.set(index, new ObservedFirstTokens());
			}
		});
	}

	private String zone(int index) {
		return "zone-" + index % this.shape.zones();
	}

	/**
	 * Runs the experiment.
	 * @return the earned share of the attainable benefit
	 */
	public PlacementResult run() {
		for (PromptKind kind : PromptKind.values()) {
			scheduleArrival(kind, 0);
		}
		if (this.shape.zones() > 1) {
			for (int instance = 0; instance < this.tables.size(); instance++) {
				scheduleSummaries(instance, summaryIntervalMillis() * instance / this.tables.size());
			}
		}
		if (this.rule.isDivided()) {
			for (int instance = 0; instance < this.tables.size(); instance++) {
				scheduleFullStates(instance, FULL_STATE_INTERVAL_MILLIS * instance / this.tables.size());
			}
		}
		while (!this.queue.isEmpty()) {
			ScheduledAction next = this.queue.remove();
			next.action.run(next.atMillis);
		}
		Map<PromptKind, Double> byKind = new EnumMap<>(PromptKind.class);
		double attainable = 0;
		double earned = 0;
		for (Map.Entry<PromptKind, double[]> sum : this.benefitSums.entrySet()) {
			byKind.put(sum.getKey(), sum.getValue()[1] / Math.max(1, sum.getValue()[0]));
			attainable += sum.getValue()[0];
			earned += sum.getValue()[1];
		}
		return new PlacementResult(earned / attainable, byKind, this.outcomes);
	}

	private void schedule(double atMillis, Action action) {
		this.queue.add(new ScheduledAction(atMillis, this.nextEventOrder++, action));
	}

	private void scheduleArrival(PromptKind kind, double afterMillis) {
		double perSecond = this.shape.ratePerSecond(kind, afterMillis / this.lengthMillis);
		if (perSecond == 0) {
			return;
		}
		double arrivalMillis = afterMillis - Math.log(1 - this.random.nextDouble()) / perSecond * MILLIS_PER_SECOND;
		double phaseEndMillis = this.shape.phaseEnd(afterMillis / this.lengthMillis) * this.lengthMillis;
		if (arrivalMillis >= phaseEndMillis && phaseEndMillis < this.lengthMillis) {
			schedule(phaseEndMillis, (now) -> scheduleArrival(kind, Math.max(now, Math.nextUp(phaseEndMillis))));
			return;
		}
		if (arrivalMillis < this.lengthMillis) {
			schedule(arrivalMillis, (now) -> {
				handleArrival(kind, now);
				scheduleArrival(kind, now);
			});
		}
	}

	private void scheduleSummaries(int instance, double atMillis) {
		if (atMillis >= this.lengthMillis) {
			return;
		}
		schedule(atMillis, (now) -> {
			List<EndpointSummary> summaries = new ArrayList<>(
					this.tables.get(instance).ownSummaries((long) now).values());
			schedule(now + PEER_UPDATE_DELAY_MILLIS, (later) -> {
				for (int other = instance % this.shape.zones(); other < this.tables.size(); other += this.shape
					.zones()) {
					if (other != instance) {
						this.tables.get(other).applyPeerSummaries("instance-" + instance, summaries, (long) later);
						this.tables.get(other).expire((long) later);
					}
				}
			});
			scheduleSummaries(instance, now + summaryIntervalMillis());
		});
	}

	private double summaryIntervalMillis() {
		double zonePeers = Math.max(1, this.tables.size() / (double) this.shape.zones() - 1);
		return SUMMARY_INTERVAL_PER_PEER_MILLIS * zonePeers;
	}

	private void scheduleFullStates(int instance, double atMillis) {
		if (atMillis >= this.lengthMillis) {
			return;
		}
		schedule(atMillis, (now) -> {
			List<DemandFigure> figures = this.rooms.get(instance).figures((long) now);
			List<Integer> targets = new ArrayList<>();
			for (int other = instance % this.shape.zones(); other < this.tables.size(); other += this.shape.zones()) {
				targets.add(other);
			}
			for (int count = 0; count < OTHER_ZONE_TARGETS; count++) {
				targets.add(this.messageRandom.nextInt(this.tables.size()));
			}
			targets.removeIf((target) -> target == instance);
			schedule(now + PEER_UPDATE_DELAY_MILLIS, (later) -> targets.forEach((target) -> {
				this.rooms.get(target).applyPeer("instance-" + instance, figures, (long) later);
				this.rooms.get(target).expire((long) later);
			}));
			scheduleFullStates(instance, now + FULL_STATE_INTERVAL_MILLIS);
		});
	}

	private void handleArrival(PromptKind kind, double now) {
		long tokens = kind.drawPromptTokens(this.random);
		int events = kind.drawAnswerEvents(this.random);
		this.benefitSums.get(kind)[0] += kind.benefit(tokens, true);
		place(kind, tokens, events, this.random.nextInt(this.tables.size()), now, now);
	}

	private void place(PromptKind kind, long tokens, int events, int instance, double arrivalMillis, double now) {
		PromptDemand demand = new PromptDemand(tokens, (long) events * this.model.stepsPerIteration(),
				kind.firstTokenTargetMillis(), kind.deadlineMillis(), kind.gapTargetMillis());
		EngineRoom room = this.rooms.get(instance);
		List<EndpointWork> view = this.tables.get(instance).view(this.endpoints);
		EngineDivision division = EngineDivision.NONE;
		this.firstTokens.get(instance).setNow((long) now);
		if (this.rule.isDivided()) {
			division = room.division(SERVICE, this.endpoints, view, this.model, zone(instance), (long) now);
			if (now == arrivalMillis) {
				room.recordArrival(SERVICE, demand, this.model, this.shape.slots(), (long) now);
			}
		}
		Optional<Placement> placement = this.placers.get(instance)
			.place(demand, view, this.model, division, this.firstTokens.get(instance), (long) now)
			.filter((chosen) -> accept(demand, chosen));
		if (placement.isPresent()) {
			start(kind, demand, events, instance, placement.get(), arrivalMillis, now);
		}
		else if (now == arrivalMillis) {
			schedule(now + CALLER_RETRY_MILLIS, (later) -> place(kind, tokens, events,
					this.retryRandom.nextInt(this.tables.size()), arrivalMillis, later));
		}
		else {
			this.outcomes.add(new PromptOutcome(kind, tokens, arrivalMillis, false, false, false, 0, 0));
		}
	}

	private boolean isAcrossMemories(PromptDemand demand) {
		return demand.memoryTokens() > this.model.memoryTokens();
	}

	/**
	 * Reserves the memory of a prompt that is larger than an engine's memory.
	 * @param demand the prompt
	 * @param chosen its placement
	 * @return false if an engine has no free memory or would reject the request
	 */
	private boolean accept(PromptDemand demand, Placement chosen) {
		if (!isAcrossMemories(demand)) {
			return chosen.helpers().size() <= PromptPlacement.MAX_HELPERS;
		}
		if (chosen.parts() > PromptPlacement.MAX_HELPERS) {
			return false;
		}
		List<IterationEngine> reserved = new ArrayList<>();
		for (IterationEngine engine : engines(chosen)) {
			if (!engine.reserve(partTokens(demand, chosen))) {
				reserved.forEach((each) -> each.release(partTokens(demand, chosen)));
				return false;
			}
			reserved.add(engine);
		}
		return true;
	}

	private static long partTokens(PromptDemand demand, Placement chosen) {
		return demand.memoryTokens() / chosen.parts();
	}

	private List<IterationEngine> engines(Placement chosen) {
		List<IterationEngine> all = new ArrayList<>();
		all.add(this.engines.get(chosen.endpoint().id()));
		chosen.helpers().forEach((helper) -> all.add(this.engines.get(helper.id())));
		return all;
	}

	private void start(PromptKind kind, PromptDemand demand, int events, int instance, Placement chosen,
			double arrivalMillis, double now) {
		boolean acrossMemories = isAcrossMemories(demand);
		long partTokens = (acrossMemories) ? partTokens(demand, chosen) : 0;
		long request = this.nextRequest++;
		RequestWork work = new RequestWork(false, chosen.partPrefillMillis(),
				(acrossMemories) ? partTokens : demand.memoryTokens(), partTokens, demand.gapTargetMillis(),
				(long) now + demand.firstTokenTimeLeftMillis(), (long) (now + chosen.expectedFirstTokenMillis()),
				demand.weight(), WorkTable.hash(chosen.endpoint().id()),
				chosen.helpers().stream().map((helper) -> WorkTable.hash(helper.id())).toList());
		SimulatedPrompt prompt = new SimulatedPrompt(kind, demand.promptTokens(), events, chosen.parts(),
				chosen.partPrefillMillis(), work.memoryTokens(), acrossMemories, arrivalMillis, now,
				chosen.expectedFirstTokenMillis());
		this.runningPrompts.put(prompt, new RunningPrompt(request, instance, work, chosen, partTokens));
		publishWork(instance, request, Optional.of(work), demand.gapTargetMillis(), now);
		IterationEngine engine = this.engines.get(chosen.endpoint().id());
		engine.enqueue(prompt);
		chosen.helpers().forEach((helper) -> this.engines.get(helper.id()).enqueuePart(prompt));
		iterate(engine, now);
		chosen.helpers().forEach((helper) -> iterate(this.engines.get(helper.id()), now));
	}

	private void publishWork(int instance, long request, Optional<RequestWork> work, long gapTargetMillis, double now) {
		boolean individual = this.rule.isAllKnowing()
				|| (this.rule.isDivided() && DemandKind.of(gapTargetMillis, this.model) == DemandKind.LONG_PROMPT);
		work.ifPresentOrElse((known) -> {
			this.tables.get(instance).put(request, known);
			if (individual && this.shape.zones() > 1) {
				this.tables.get(instance).publishIndividually(request);
			}
		}, () -> this.tables.get(instance).remove(request));
		if (this.shape.zones() > 1 && !individual) {
			return;
		}
		boolean toAll = this.rule.isAllKnowing() || this.rooms.get(instance).tellsAllZones();
		schedule(now + ((this.rule.isAllKnowing()) ? 0 : PEER_UPDATE_DELAY_MILLIS), (later) -> {
			for (int other = 0; other < this.tables.size(); other++) {
				if (other != instance && (toAll || zone(other).equals(zone(instance)))) {
					Map<Long, RequestWork> changed = work.map((known) -> Map.of(request, known)).orElse(Map.of());
					recordTold(other, this.tables.get(other).newPrefills("instance-" + instance, changed), later);
					this.tables.get(other)
						.applyPeerChanges("instance-" + instance, changed,
								(work.isPresent()) ? List.of() : List.of(request), (long) later);
				}
			}
		});
	}

	private void recordTold(int instance, List<RequestWork> work, double now) {
		for (RequestWork each : work) {
			if (DemandKind.of(each.gapTargetMillis(), this.model) == DemandKind.LONG_PROMPT) {
				this.rooms.get(instance).recordTold(SERVICE, each, (long) now);
			}
		}
	}

	private void iterate(IterationEngine engine, double now) {
		if (!engine.isIdle()) {
			return;
		}
		double millis = engine.beginIteration();
		if (millis > 0) {
			schedule(now + millis, (end) -> {
				for (SimulatedPrompt prompt : engine.endIteration(end)) {
					handleEnd(prompt, end);
				}
				publishDecodingStarts(end);
				iterate(engine, end);
			});
		}
	}

	private void handleEnd(SimulatedPrompt prompt, double now) {
		RunningPrompt ended = this.runningPrompts.remove(prompt);
		this.benefitSums.get(prompt.kind())[1] += prompt.earnedBenefit(now);
		this.outcomes.add(prompt.outcome(now));
		if (ended.reservedTokens() > 0) {
			engines(ended.placement()).forEach((engine) -> engine.release(ended.reservedTokens()));
		}
		publishWork(ended.instance(), ended.request(), Optional.empty(), ended.work().gapTargetMillis(), now);
	}

	private void publishDecodingStarts(double now) {
		for (Map.Entry<SimulatedPrompt, RunningPrompt> entry : this.runningPrompts.entrySet()) {
			RunningPrompt known = entry.getValue();
			if (entry.getKey().hasFirstToken() && !known.work().decoding()) {
				recordFirstToken(entry.getKey(), known, now);
				RequestWork decodingWork = known.work().toDecoding();
				entry.setValue(new RunningPrompt(known.request(), known.instance(), decodingWork, known.placement(),
						known.reservedTokens()));
				publishWork(known.instance(), known.request(), Optional.of(decodingWork),
						decodingWork.gapTargetMillis(), now);
			}
		}
	}

	private void recordFirstToken(SimulatedPrompt prompt, RunningPrompt known, double now) {
		if (!this.rule.isDivided()
				|| DemandKind.of(known.work().gapTargetMillis(), this.model) != DemandKind.LONG_PROMPT) {
			return;
		}
		PromptOutcome outcome = prompt.outcome(now);
		this.firstTokens.get(known.instance()).setNow((long) now);
		this.firstTokens.get(known.instance())
			.record("", known.placement().parts(), outcome.expectedFirstTokenMillis(), outcome.firstTokenMillis());
	}

	@FunctionalInterface
	private interface Action {

		void run(double nowMillis);

	}

	private record RunningPrompt(long request, int instance, RequestWork work, Placement placement,
			long reservedTokens) {
	}

	private record ScheduledAction(double atMillis, long order, Action action) implements Comparable<ScheduledAction> {

		@Override
		public int compareTo(ScheduledAction other) {
			int byTime = Double.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}
