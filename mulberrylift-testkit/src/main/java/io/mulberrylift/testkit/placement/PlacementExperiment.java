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
 * Plays one load with one rule in virtual time. Instances learn of each other's
 * placements after a delay. Equal arguments give equal results.
 *
 * <p>
 * Not safe for use by several threads; one object plays once.
 * </p>
 */
public final class PlacementExperiment {

	/** Cost model of the users' engines. */
	public static final EngineCostModel MODEL = new EngineCostModel(0.925, 0.007, 0.00254, 256, 0.0917, 2048, 46,
			450_000);

	private static final int SLOTS = 11;

	private static final int EVENT_TOKENS = 46;

	/** Time until peers know of a placement, in milliseconds. */
	private static final double NEWS_MILLIS = 60;

	private static final int MILLIS_PER_SECOND = 1000;

	private final DeploymentShape shape;

	private final long lengthMillis;

	private final Random random;

	private final List<ForwardEndpoint> endpoints = new ArrayList<>();

	private final Map<EndpointId, PassEngine> engines = new HashMap<>();

	private final List<WorkTable> tables = new ArrayList<>();

	private final List<PlacementRule.Placer> placers = new ArrayList<>();

	private final PriorityQueue<Happening> queue = new PriorityQueue<>();

	private final Map<SimulatedPrompt, Placed> placed = new HashMap<>();

	private final Map<PromptKind, double[]> sums = new EnumMap<>(PromptKind.class);

	private long nextHappening;

	private long nextRequest;

	/**
	 * Prepares a run.
	 * @param shape the deployment
	 * @param rule how prompts are placed
	 * @param seed seed of load and choices
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
			this.engines.put(endpoint.id(), new PassEngine(MODEL, SLOTS));
		}
		for (int index = 0; index < shape.instances(); index++) {
			this.tables.add(new WorkTable());
			this.placers.add(rule.placer(seed * MILLIS_PER_SECOND + index));
		}
		for (PromptKind kind : PromptKind.values()) {
			this.sums.put(kind, new double[2]);
		}
	}

	/**
	 * Plays the run.
	 * @return benefit earned over benefit owed
	 */
	public PlacementResult play() {
		for (PromptKind kind : PromptKind.values()) {
			scheduleArrival(kind, 0);
		}
		while (!this.queue.isEmpty()) {
			Happening next = this.queue.remove();
			next.action.run(next.atMillis);
		}
		Map<PromptKind, Double> byKind = new EnumMap<>(PromptKind.class);
		double owed = 0;
		double earned = 0;
		for (Map.Entry<PromptKind, double[]> sum : this.sums.entrySet()) {
			byKind.put(sum.getKey(), sum.getValue()[1] / Math.max(1, sum.getValue()[0]));
			owed += sum.getValue()[0];
			earned += sum.getValue()[1];
		}
		return new PlacementResult(earned / owed, byKind);
	}

	private void schedule(double atMillis, Action action) {
		this.queue.add(new Happening(atMillis, this.nextHappening++, action));
	}

	private void scheduleArrival(PromptKind kind, double afterMillis) {
		double perSecond = this.shape.perSecond(kind, afterMillis / this.lengthMillis);
		double at = afterMillis - Math.log(1 - this.random.nextDouble()) / perSecond * MILLIS_PER_SECOND;
		if (at < this.lengthMillis) {
			schedule(at, (now) -> {
				arrive(kind, now);
				scheduleArrival(kind, now);
			});
		}
	}

	private void arrive(PromptKind kind, double now) {
		long tokens = kind.tokens(this.random);
		int events = kind.events(this.random);
		int instance = this.random.nextInt(this.tables.size());
		long nowMillis = (long) now;
		PromptDemand demand = new PromptDemand(tokens, (long) events * EVENT_TOKENS, kind.firstTargetMillis(),
				kind.deadlineMillis(), kind.gapTargetMillis());
		this.sums.get(kind)[0] += kind.benefit(tokens, true);
		Optional<Placement> placement = this.placers.get(instance)
			.place(demand, this.tables.get(instance).view(this.endpoints), MODEL, nowMillis);
		placement.ifPresent((chosen) -> start(kind, demand, events, instance, chosen, now));
	}

	private void start(PromptKind kind, PromptDemand demand, int events, int instance, Placement chosen, double now) {
		boolean spread = demand.memoryTokens() > MODEL.memoryTokens();
		long each = (spread) ? demand.memoryTokens() / chosen.parts() : 0;
		long request = this.nextRequest++;
		RequestWork work = new RequestWork(false, chosen.partPrefillMillis(), (spread) ? each : demand.memoryTokens(),
				each, demand.gapTargetMillis(), (long) now + demand.firstTokenTimeLeftMillis(),
				(long) (now + chosen.expectedFirstTokenMillis()), demand.weight(),
				WorkTable.hash(chosen.endpoint().id()),
				chosen.helpers().stream().map((helper) -> WorkTable.hash(helper.id())).toList());
		SimulatedPrompt prompt = new SimulatedPrompt(kind, demand.promptTokens(), events, chosen.parts(),
				chosen.partPrefillMillis(), work.memoryTokens(), now);
		this.placed.put(prompt, new Placed(request, instance, work));
		tell(instance, request, Optional.of(work), now);
		PassEngine engine = this.engines.get(chosen.endpoint().id());
		engine.queue(prompt);
		chosen.helpers().forEach((helper) -> this.engines.get(helper.id()).help(prompt));
		pass(engine, now);
		chosen.helpers().forEach((helper) -> pass(this.engines.get(helper.id()), now));
	}

	private void tell(int instance, long request, Optional<RequestWork> work, double now) {
		work.ifPresentOrElse((known) -> this.tables.get(instance).put(request, known),
				() -> this.tables.get(instance).remove(request));
		schedule(now + NEWS_MILLIS, (later) -> {
			for (int other = 0; other < this.tables.size(); other++) {
				if (other != instance) {
					this.tables.get(other)
						.changed("instance-" + instance, work.map((known) -> Map.of(request, known)).orElse(Map.of()),
								(work.isPresent()) ? List.of() : List.of(request), (long) later);
				}
			}
		});
	}

	private void pass(PassEngine engine, double now) {
		if (!engine.isIdle()) {
			return;
		}
		double millis = engine.beginPass();
		if (millis > 0) {
			schedule(now + millis, (end) -> {
				for (SimulatedPrompt prompt : engine.endPass(end)) {
					Placed done = this.placed.remove(prompt);
					this.sums.get(prompt.kind())[1] += prompt.earned(end);
					tell(done.instance(), done.request(), Optional.empty(), end);
				}
				begun(end);
				pass(engine, end);
			});
		}
	}

	private void begun(double now) {
		for (Map.Entry<SimulatedPrompt, Placed> entry : this.placed.entrySet()) {
			Placed known = entry.getValue();
			if (entry.getKey().hasBegun() && !known.work().decoding()) {
				RequestWork writing = known.work().toDecoding();
				entry.setValue(new Placed(known.request(), known.instance(), writing));
				tell(known.instance(), known.request(), Optional.of(writing), now);
			}
		}
	}

	@FunctionalInterface
	private interface Action {

		void run(double nowMillis);

	}

	private record Placed(long request, int instance, RequestWork work) {
	}

	private record Happening(double atMillis, long order, Action action) implements Comparable<Happening> {

		@Override
		public int compareTo(Happening other) {
			int byTime = Double.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}
