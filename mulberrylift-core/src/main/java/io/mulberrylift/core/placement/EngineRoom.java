package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.gossip.DemandFigure;

/**
 * Measures the demand for engines by service and kind, shares it with peers and divides
 * the engines of a service by it.
 *
 * <p>
 * Not thread-safe; owned by the reducer. All state is in memory: after a restart, the
 * instance divides by its own demand until the first messages of its peers.
 * </p>
 */
public final class EngineRoom {

	/** Slots of an engine that short answers use comfortably, as a share. */
	private static final double COMFORTABLE_SLOT_SHARE = 0.75;

	private static final double MILLIS_PER_SECOND = 1000;

	private static final double PERCENT = 100;

	/**
	 * Instances up to which all of them are told of each long prompt: the byte rate of an
	 * instance permits a message of up to 150 bytes to so many at once. In larger
	 * deployments, those of the own zone are told.
	 */
	private static final int MAX_INSTANCES_TOLD = 40;

	/** Decay of the demand of short answers, which are many. */
	private static final double SHORT_DECAY_MILLIS = 1500;

	/**
	 * Decay of the demand of long prompts: all instances together receive few of them in
	 * a second.
	 */
	private static final double LONG_DECAY_MILLIS = 3000;

	private final Map<String, ServiceDemand> services = new HashMap<>();

	private final SharedDemand shared = new SharedDemand();

	private int liveInstances = 1;

	private boolean partialView;

	private EngineDivision last = EngineDivision.NONE;

	private long lentPlacements;

	private long collisions;

	/**
	 * Sets the number of live instances.
	 * @param instances the number, including this instance
	 */
	public void setLiveInstances(int instances) {
		this.liveInstances = instances;
	}

	/**
	 * Sets whether messages of peers contain summaries of most work.
	 * @param partial true in large fleets
	 */
	public void setPartialView(boolean partial) {
		this.partialView = partial;
	}

	/**
	 * Returns whether instances of all zones are told of each long prompt.
	 * @return false in large deployments
	 */
	public boolean tellsAllZones() {
		return this.liveInstances <= MAX_INSTANCES_TOLD;
	}

	/**
	 * Returns whether the work of a prompt is told to peers at once.
	 * @param division division of the engines of its service
	 * @param demand demand of the prompt
	 * @return true for long prompts if other work is published in summaries
	 */
	public boolean isPublishedIndividually(EngineDivision division, PromptDemand demand) {
		return this.partialView && division.kind(demand.gapTargetMillis()) == DemandKind.LONG_PROMPT;
	}

	/**
	 * Records a placement.
	 * @param division division that it was chosen by
	 * @param placement the placement
	 * @param gapTargetMillis gap target of the answer
	 * @param nowMillis the current time
	 * @return what decided, for the log: kind, engines lent by the other side, share of
	 * the engines of short answers, free engines of long prompts, peers known, oldest
	 * figures
	 */
	public String recordPlacement(EngineDivision division, Placement placement, long gapTargetMillis, long nowMillis) {
		this.last = division;
		DemandKind kind = division.kind(gapTargetMillis);
		long lent = 0;
		if (division.isDivided()) {
			lent = placement.helpers().stream().filter((each) -> division.side(each.id()) != kind).count();
			lent += (division.side(placement.endpoint().id()) != kind) ? 1 : 0;
		}
		this.lentPlacements += (lent > 0) ? 1 : 0;
		return "kind=" + kind + " lent=" + lent + " short-percent=" + Math.round(PERCENT * division.shortShare())
				+ " free-long=" + division.freeLongEngines() + " peers=" + this.shared.instances() + " age-millis="
				+ this.shared.oldestAgeMillis(nowMillis);
	}

	/**
	 * Records the end of an answer.
	 * @param kind kind of its prompt
	 * @param late whether a gap exceeded its target
	 */
	public void recordGap(DemandKind kind, boolean late) {
		this.collisions += (late && kind == DemandKind.SHORT_ANSWER) ? 1 : 0;
	}

	/**
	 * Returns counts for operators: engines by side when a prompt was placed last,
	 * placements that used an engine of the other side, and short answers with a late
	 * gap.
	 * @return counts by name
	 */
	public Map<String, Long> counts() {
		Map<String, Long> counts = new LinkedHashMap<>();
		counts.put("short_engines", (this.last.isDivided()) ? this.last.engines(DemandKind.SHORT_ANSWER) : 0);
		counts.put("long_engines", (this.last.isDivided()) ? this.last.engines(DemandKind.LONG_PROMPT) : 0);
		counts.put("lent_placements", this.lentPlacements);
		counts.put("short_answer_collisions", this.collisions);
		return counts;
	}

	/**
	 * Records the arrival of a prompt.
	 * @param service name of the service
	 * @param demand demand of the prompt
	 * @param model cost model of the engines
	 * @param slots slots of an engine
	 * @param nowMillis the current time
	 */
	public void recordArrival(String service, PromptDemand demand, EngineCostModel model, int slots, long nowMillis) {
		DemandKind kind = DemandKind.of(demand.gapTargetMillis(), model);
		ServiceDemand known = this.services.computeIfAbsent(service, (name) -> new ServiceDemand());
		double workMillis = workMillis(demand, model, slots);
		known.meters.get(kind).record(workMillis, nowMillis);
		if (kind == DemandKind.LONG_PROMPT) {
			known.told.record(workMillis, nowMillis);
		}
		if (kind == DemandKind.SHORT_ANSWER) {
			known.shortGapMillis = (known.shortGapMillis == 0) ? demand.gapTargetMillis()
					: Math.min(known.shortGapMillis, demand.gapTargetMillis());
		}
	}

	/**
	 * Records a long prompt that a peer has placed. While all instances are told of each
	 * one, all compute the same demand at once, without figures.
	 * @param service name of the service
	 * @param work its work
	 * @param nowMillis the current time
	 */
	public void recordTold(String service, RequestWork work, long nowMillis) {
		this.services.computeIfAbsent(service, (name) -> new ServiceDemand()).told
			.record(work.partPrefillMillis() * (1 + work.helperHashes().size()), nowMillis);
	}

	/**
	 * Returns the time that a prompt occupies an engine: its prefill, and its share of
	 * the time of the iterations that generate its answer beside others.
	 * @param demand demand of the prompt
	 * @param model cost model of the engines
	 * @param slots slots of an engine
	 * @return the time in milliseconds
	 */
	static double workMillis(PromptDemand demand, EngineCostModel model, int slots) {
		double iterations = Math.ceil((double) demand.maxOutputTokens() / model.stepsPerIteration());
		double answers = Math.max(1, COMFORTABLE_SLOT_SHARE * slots);
		double iterationMillis = model.iterationDecodeMillis((int) answers, 0);
		return model.partPrefillMillis(demand.promptTokens(), 1) + iterations * iterationMillis / answers;
	}

	/**
	 * Applies the figures of a peer.
	 * @param sender the peer
	 * @param figures its figures; those for other subjects are not used
	 * @param nowMillis the current time
	 */
	public void applyPeer(String sender, List<DemandFigure> figures, long nowMillis) {
		this.shared.apply(sender, figures, nowMillis);
	}

	/**
	 * Removes what has expired.
	 * @param nowMillis the current time
	 */
	public void expire(long nowMillis) {
		this.shared.expire(nowMillis);
	}

	/**
	 * Returns the demand of this instance, to be told to peers.
	 * @param nowMillis the current time
	 * @return at most two figures for each service; none without demand
	 */
	public List<DemandFigure> figures(long nowMillis) {
		List<DemandFigure> figures = new ArrayList<>();
		this.services.forEach((service, demand) -> demand.meters.forEach((kind, meter) -> {
			long perSecond = Math.round(meter.workMillisPerSecond(nowMillis));
			if (perSecond > 0) {
				figures.add(new DemandFigure(kind.subjectHash(service), 0, perSecond, 0));
			}
		}));
		return figures;
	}

	/**
	 * Divides the engines of a service by the demand of all instances. Short answers in
	 * progress that are known count at once, since figures of peers are up to two seconds
	 * late when a burst begins.
	 * @param service name of the service
	 * @param engines all engines of the service that accept work
	 * @param known what is known of their work
	 * @param model their cost model
	 * @param zone availability zone whose work is known
	 * @param nowMillis the current time
	 * @return the division
	 */
	public EngineDivision division(String service, List<ForwardEndpoint> engines, List<EndpointWork> known,
			EngineCostModel model, String zone, long nowMillis) {
		ServiceDemand demand = this.services.computeIfAbsent(service, (name) -> new ServiceDemand());
		KnownLoad load = KnownLoad.of(known, model, zone, nowMillis);
		double shortMillis = Math.max(total(service, DemandKind.SHORT_ANSWER, demand, nowMillis),
				load.shortEngines(engines.size(), COMFORTABLE_SLOT_SHARE) * MILLIS_PER_SECOND);
		double longMillis = (this.partialView && tellsAllZones()) ? demand.told.workMillisPerSecond(nowMillis)
				: total(service, DemandKind.LONG_PROMPT, demand, nowMillis);
		return new EngineDivision(shortMillis, longMillis, model.fullIterationMillis(), demand.shortGapMillis,
				demand.order.positions(service, engines), load, tellsAllZones());
	}

	private double total(String service, DemandKind kind, ServiceDemand demand, long nowMillis) {
		return this.shared.totalMillisPerSecond(kind.subjectHash(service),
				demand.meters.get(kind).workMillisPerSecond(nowMillis), this.liveInstances);
	}

	private static final class ServiceDemand {

		private final Map<DemandKind, DemandMeter> meters = new EnumMap<>(DemandKind.class);

		/** Long prompts of this instance and of those that told theirs. */
		private final DemandMeter told = new DemandMeter(LONG_DECAY_MILLIS);

		private long shortGapMillis;

		private final EngineOrder order = new EngineOrder();

		private ServiceDemand() {
			this.meters.put(DemandKind.SHORT_ANSWER, new DemandMeter(SHORT_DECAY_MILLIS));
			this.meters.put(DemandKind.LONG_PROMPT, new DemandMeter(LONG_DECAY_MILLIS));
		}

	}

}
