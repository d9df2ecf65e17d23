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
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EngineCostModel;
import io.mulberrylift.core.placement.Placement;
import io.mulberrylift.core.placement.PromptDemand;
import io.mulberrylift.core.placement.RequestWork;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Simulates one load with one placement rule in virtual time. Instances learn of each
 * other's placements after a delay. Equal arguments give equal results.
 *
 * <p>
 * Not safe for use by several threads. Each object runs once.
 * </p>
 */
public final class PlacementExperiment {

	/** Cost model of the users' engines. */
	public static final EngineCostModel MODEL = new EngineCostModel(0.925, 0.007, 0.00254, 256, 0.0917, 2048, 46,
			450_000);

	private static final int SLOTS = 11;

	private static final int EVENT_TOKENS = 46;

	/** Delay until the other instances receive an update, in milliseconds. */
	private static final double PEER_UPDATE_DELAY_MILLIS = 60;

	private static final int MILLIS_PER_SECOND = 1000;

	private final DeploymentShape shape;

	private final long lengthMillis;

	private final Random random;

	private final List<ForwardEndpoint> endpoints = new ArrayList<>();

	private final Map<EndpointId, IterationEngine> engines = new HashMap<>();

	private final List<WorkTable> tables = new ArrayList<>();

	private final List<PlacementRule.Placer> placers = new ArrayList<>();

	private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();

	private final Map<SimulatedPrompt, RunningPrompt> runningPrompts = new HashMap<>();

	private final Map<PromptKind, double[]> benefitSums = new EnumMap<>(PromptKind.class);

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
		this.lengthMillis = lengthMillis;
		this.random = new Random(seed);
		for (int index = 0; index < shape.engines(); index++) {
			ForwardEndpoint endpoint = new ForwardEndpoint(new EndpointId("engine-" + index), "engines",
					"10.0.0." + (index + 1), 8080, "zone", SLOTS, false, 0);
			this.endpoints.add(endpoint);
			this.engines.put(endpoint.id(), new IterationEngine(MODEL, SLOTS));
		}
		for (int index = 0; index < shape.instances(); index++) {
			this.tables.add(new WorkTable());
			this.placers.add(rule.placer(seed * MILLIS_PER_SECOND + index));
		}
		for (PromptKind kind : PromptKind.values()) {
			this.benefitSums.put(kind, new double[2]);
		}
	}

	/**
	 * Runs the experiment.
	 * @return the earned share of the attainable benefit
	 */
	public PlacementResult run() {
		for (PromptKind kind : PromptKind.values()) {
			scheduleArrival(kind, 0);
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
		return new PlacementResult(earned / attainable, byKind);
	}

	private void schedule(double atMillis, Action action) {
		this.queue.add(new ScheduledAction(atMillis, this.nextEventOrder++, action));
	}

	private void scheduleArrival(PromptKind kind, double afterMillis) {
		double perSecond = this.shape.ratePerSecond(kind, afterMillis / this.lengthMillis);
		double arrivalMillis = afterMillis - Math.log(1 - this.random.nextDouble()) / perSecond * MILLIS_PER_SECOND;
		if (arrivalMillis < this.lengthMillis) {
			schedule(arrivalMillis, (now) -> {
				handleArrival(kind, now);
				scheduleArrival(kind, now);
			});
		}
	}

	private void handleArrival(PromptKind kind, double now) {
		long tokens = kind.drawPromptTokens(this.random);
		int events = kind.drawAnswerEvents(this.random);
		int instance = this.random.nextInt(this.tables.size());
		long nowMillis = (long) now;
		PromptDemand demand = new PromptDemand(tokens, (long) events * EVENT_TOKENS, kind.firstTokenTargetMillis(),
				kind.deadlineMillis(), kind.gapTargetMillis());
		this.benefitSums.get(kind)[0] += kind.benefit(tokens, true);
		Optional<Placement> placement = this.placers.get(instance)
			.place(demand, this.tables.get(instance).view(this.endpoints), MODEL, nowMillis);
		placement.ifPresent((chosen) -> start(kind, demand, events, instance, chosen, now));
	}

	private void start(PromptKind kind, PromptDemand demand, int events, int instance, Placement chosen, double now) {
		boolean split = demand.memoryTokens() > MODEL.memoryTokens();
		long partTokens = (split) ? demand.memoryTokens() / chosen.parts() : 0;
		long request = this.nextRequest++;
		RequestWork work = new RequestWork(false, chosen.partPrefillMillis(),
				(split) ? partTokens : demand.memoryTokens(), partTokens, demand.gapTargetMillis(),
				(long) now + demand.firstTokenTimeLeftMillis(), (long) (now + chosen.expectedFirstTokenMillis()),
				demand.weight(), WorkTable.hash(chosen.endpoint().id()),
				chosen.helpers().stream().map((helper) -> WorkTable.hash(helper.id())).toList());
		SimulatedPrompt prompt = new SimulatedPrompt(kind, demand.promptTokens(), events, chosen.parts(),
				chosen.partPrefillMillis(), work.memoryTokens(), now);
		this.runningPrompts.put(prompt, new RunningPrompt(request, instance, work));
		publishWork(instance, request, Optional.of(work), now);
		IterationEngine engine = this.engines.get(chosen.endpoint().id());
		engine.enqueue(prompt);
		chosen.helpers().forEach((helper) -> this.engines.get(helper.id()).enqueuePart(prompt));
		iterate(engine, now);
		chosen.helpers().forEach((helper) -> iterate(this.engines.get(helper.id()), now));
	}

	private void publishWork(int instance, long request, Optional<RequestWork> work, double now) {
		work.ifPresentOrElse((known) -> this.tables.get(instance).put(request, known),
				() -> this.tables.get(instance).remove(request));
		schedule(now + PEER_UPDATE_DELAY_MILLIS, (later) -> {
			for (int other = 0; other < this.tables.size(); other++) {
				if (other != instance) {
					this.tables.get(other)
						.applyPeerChanges("instance-" + instance,
								work.map((known) -> Map.of(request, known)).orElse(Map.of()),
								(work.isPresent()) ? List.of() : List.of(request), (long) later);
				}
			}
		});
	}

	private void iterate(IterationEngine engine, double now) {
		if (!engine.isIdle()) {
			return;
		}
		double millis = engine.beginIteration();
		if (millis > 0) {
			schedule(now + millis, (end) -> {
				for (SimulatedPrompt prompt : engine.endIteration(end)) {
					RunningPrompt ended = this.runningPrompts.remove(prompt);
					this.benefitSums.get(prompt.kind())[1] += prompt.earnedBenefit(end);
					publishWork(ended.instance(), ended.request(), Optional.empty(), end);
				}
				publishDecodingStarts(end);
				iterate(engine, end);
			});
		}
	}

	private void publishDecodingStarts(double now) {
		for (Map.Entry<SimulatedPrompt, RunningPrompt> entry : this.runningPrompts.entrySet()) {
			RunningPrompt known = entry.getValue();
			if (entry.getKey().hasFirstToken() && !known.work().decoding()) {
				RequestWork decodingWork = known.work().toDecoding();
				entry.setValue(new RunningPrompt(known.request(), known.instance(), decodingWork));
				publishWork(known.instance(), known.request(), Optional.of(decodingWork), now);
			}
		}
	}

	@FunctionalInterface
	private interface Action {

		void run(double nowMillis);

	}

	private record RunningPrompt(long request, int instance, RequestWork work) {
	}

	private record ScheduledAction(double atMillis, long order, Action action) implements Comparable<ScheduledAction> {

		@Override
		public int compareTo(ScheduledAction other) {
			int byTime = Double.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}
