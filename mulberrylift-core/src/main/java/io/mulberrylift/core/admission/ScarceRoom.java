package io.mulberrylift.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Room of one service: whether it is scarce, and what share of each kind of request is
 * admitted then.
 *
 * <p>
 * Room is scarce while a tenth of the requests or of the work is expected to be late, or
 * more waits than the most urgent requests can wait for. The capacity that the demand is
 * compared with follows what is seen: it falls while many requests are expected to be
 * late and rises otherwise, and it is smaller by what is to be processed of the work that
 * waits. Of requests of one rank and workspace the same share is admitted, whatever their
 * size. Those that return are admitted first, at the expense of new ones of the same
 * workspace. Not thread-safe.
 * </p>
 */
final class ScarceRoom {

	/** Shortest time after which a refused caller is asked to return. */
	static final long MIN_RETURN_MILLIS = 100;

	/** Callers wait for at most this part of the time that they have left. */
	private static final long MAX_RETURN_PART = 3;

	/** Share of late requests from which room is scarce. */
	private static final double SCARCE_SHARE = 0.1;

	/** Share of late requests above which the capacity is taken to be smaller. */
	private static final double TOO_LATE_SHARE = 0.2;

	/** Weight of one request in the share of late ones. */
	private static final double REQUEST_WEIGHT = 0.05;

	/** Time in which the share by work follows, in milliseconds of one place. */
	private static final double WORK_PERIOD_SECONDS = 0.25;

	private static final double FALL_PER_SECOND = 0.4;

	private static final double RISE_PER_SECOND = 0.15;

	private static final double MIN_FACTOR = 0.2;

	private static final double MAX_FACTOR = 3;

	/** Time for which shares are kept. */
	private static final long SHARES_MILLIS = 100;

	/** Part of their share that new requests keep when others return. */
	private static final double NEW_SHARE = 0.5;

	/** Time in which work that waits beyond what is due is to be processed. */
	private static final double DRAIN_MILLIS = 2000;

	/** Part of the shortest target that may wait without a reduction. */
	private static final double WAIT_PART = 0.5;

	/** Time after which the shortest target is looked for anew. */
	private static final long TARGET_PERIOD_MILLIS = 5000;

	private static final long MAX_STEP_MILLIS = 1000;

	private static final double MILLIS_PER_SECOND = 1000;

	private static final int MAX_CREDITS = 20_000;

	private final String service;

	private final DemandTable demand;

	private final RandomGenerator random;

	private final Map<String, Double> credits = new HashMap<>();

	/** What was offered here, by rank and workspace. */
	private final Map<String, Offered> offered = new HashMap<>();

	private final Map<String, Double> shares = new HashMap<>();

	private Map<Integer, Double> rankShares = Map.of();

	private long sharesMillis = Long.MIN_VALUE / 2;

	private long updatedMillis = Long.MIN_VALUE / 2;

	private double lateShare;

	private double lateWorkShare;

	private double factor = 1;

	private long targetMillis = Long.MAX_VALUE;

	private long lastTargetMillis = Long.MAX_VALUE;

	private long targetPeriodMillis = Long.MIN_VALUE / 2;

	private double capacityPerSecond;

	private double demandPerSecond;

	ScarceRoom(String service, DemandTable demand, RandomGenerator random) {
		this.service = Objects.requireNonNull(service, "service");
		this.demand = Objects.requireNonNull(demand, "demand");
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Records how a request was predicted to fare.
	 * @param request the request
	 * @param room the service's room
	 * @param returning whether it was refused before
	 * @param nowMillis the current time
	 */
	void observe(AdmissionRequest request, ServiceRoom room, boolean returning, long nowMillis) {
		if (this.offered.size() >= MAX_CREDITS) {
			this.offered.clear();
		}
		this.offered.computeIfAbsent(key(request), (key) -> new Offered())
			.add(request.costMillis(), returning, nowMillis);
		if (nowMillis - this.targetPeriodMillis >= TARGET_PERIOD_MILLIS) {
			this.targetPeriodMillis = nowMillis;
			this.lastTargetMillis = this.targetMillis;
			this.targetMillis = Long.MAX_VALUE;
		}
		this.targetMillis = Math.min(this.targetMillis, Math.max(1, request.targetMillis()));
		double late = request.isLate() ? 1 : 0;
		double workWeight = 1 - Math
			.exp(-request.costMillis() / (WORK_PERIOD_SECONDS * MILLIS_PER_SECOND * Math.max(1, room.places())));
		this.lateShare += REQUEST_WEIGHT * (late - this.lateShare);
		this.lateWorkShare += workWeight * (late - this.lateWorkShare);
		double seconds = Math.min(MAX_STEP_MILLIS, Math.max(0, nowMillis - this.updatedMillis)) / MILLIS_PER_SECOND;
		this.updatedMillis = nowMillis;
		if (!room.isBusy()) {
			this.factor += (1 - this.factor) * (1 - Math.exp(-seconds * RISE_PER_SECOND));
			return;
		}
		double rate = (lateShare() > TOO_LATE_SHARE) ? -FALL_PER_SECOND : RISE_PER_SECOND;
		this.factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, this.factor * Math.exp(rate * seconds)));
	}

	private double shortestTargetMillis() {
		return Math.min(this.targetMillis, this.lastTargetMillis);
	}

	double lateShare() {
		return Math.max(this.lateShare, this.lateWorkShare);
	}

	boolean isScarce(ServiceRoom room) {
		return room.isBusy() && (lateShare() >= SCARCE_SHARE || room.waitMillis() > shortestTargetMillis());
	}

	/**
	 * Returns the share of requests like one that is admitted.
	 * @param request the request
	 * @param room the service's room
	 * @param knownPart part of the fleet whose demand is known
	 * @param workspaces all workspaces
	 * @param nowMillis the current time
	 * @return a number from 0 to 1
	 */
	double share(AdmissionRequest request, ServiceRoom room, double knownPart, Iterable<String> workspaces,
			long nowMillis) {
		if (nowMillis - this.sharesMillis >= SHARES_MILLIS || nowMillis < this.sharesMillis) {
			this.sharesMillis = nowMillis;
			this.shares.clear();
			Map<Integer, Double> byRank = this.demand.byRank(DemandTable.subject(this.service), nowMillis);
			double excessMillis = Math.max(0, room.waitMillis() - WAIT_PART * shortestTargetMillis());
			double factorNow = Math.max(MIN_FACTOR, this.factor - excessMillis / DRAIN_MILLIS);
			this.capacityPerSecond = factorNow * room.places() * MILLIS_PER_SECOND * Math.min(1, knownPart);
			this.demandPerSecond = byRank.values().stream().mapToDouble(Double::doubleValue).sum();
			this.rankShares = ScarceShares.byRank(byRank, this.capacityPerSecond);
		}
		return this.shares.computeIfAbsent(key(request), (key) -> workspaceShare(request, workspaces, nowMillis));
	}

	private double workspaceShare(AdmissionRequest request, Iterable<String> workspaces, long nowMillis) {
		double rankShare = this.rankShares.getOrDefault(request.rank(), 1.0);
		if (rankShare >= 1) {
			return 1;
		}
		double rankDemand = this.demand.demand(DemandTable.subject(this.service), request.rank(), nowMillis);
		double own = 0;
		double known = 0;
		List<Double> others = new ArrayList<>();
		for (String workspace : workspaces) {
			double each = this.demand.demand(DemandTable.subject(this.service, workspace), request.rank(), nowMillis);
			known += each;
			if (workspace.equals(request.workspace())) {
				own = each;
			}
			else if (each > 0) {
				others.add(each);
			}
		}
		if (own <= 0) {
			return rankShare;
		}
		// Figures of small workspaces are not told; their work is in the total.
		double rest = Math.max(0, rankDemand - known);
		double capacity = Math.max(rankShare * known, rankShare * rankDemand - rest);
		return ScarceShares.ofWorkspace(own, others.stream().mapToDouble(Double::doubleValue).toArray(), capacity);
	}

	/**
	 * Decides on one request such that the share of its rank and workspace is kept.
	 * @param request the request
	 * @param share share of such requests that is admitted
	 * @param returning whether it was refused before
	 * @param nowMillis the current time
	 * @return whether it is admitted
	 */
	boolean take(AdmissionRequest request, double share, boolean returning, long nowMillis) {
		if (this.credits.size() >= MAX_CREDITS) {
			this.credits.clear();
		}
		double returningPart = this.offered.get(key(request)).returningPart(nowMillis);
		// New requests keep half of their share at least.
		double returningShare = (returningPart > 0)
				? Math.min(1, share * (1 - NEW_SHARE * (1 - returningPart)) / returningPart) : 1;
		double newShare = (returningPart < 1)
				? Math.max(0, (share - returningPart * returningShare) / (1 - returningPart)) : share;
		String key = key(request) + "/" + request.sizeClass() + "/" + returning;
		double credit = this.credits.computeIfAbsent(key, (each) -> this.random.nextDouble())
				+ ((returning) ? returningShare : newShare);
		boolean admitted = credit >= 1;
		this.credits.put(key, (admitted) ? credit - 1 : credit);
		return admitted;
	}

	private static String key(AdmissionRequest request) {
		return request.rank() + "/" + request.workspace();
	}

	/**
	 * Returns the time after which room is expected: what waits and the more urgent work
	 * that was refused are processed by then. Callers of one rank return spread over the
	 * time that their own work takes, before those of less urgent ranks.
	 * @param rank rank of the refused request
	 * @param remainingMillis time until its deadline
	 * @param room the service's room
	 * @param knownPart part of the fleet whose demand is known
	 * @param nowMillis the current time
	 * @return the time in milliseconds
	 */
	long returnMillis(int rank, long remainingMillis, ServiceRoom room, double knownPart, long nowMillis) {
		double places = Math.max(1, this.factor * room.places());
		Map<Integer, Double> waiting = new TreeMap<>(
				this.demand.waitingByRank(DemandTable.subject(this.service), nowMillis));
		double part = places * Math.min(1, knownPart);
		double ahead = room.backlogMillis() / places;
		for (Map.Entry<Integer, Double> each : waiting.entrySet()) {
			ahead += (each.getKey() < rank) ? Math.max(MIN_RETURN_MILLIS, each.getValue() / part) : 0;
		}
		double own = Math.max(MIN_RETURN_MILLIS, waiting.getOrDefault(rank, 0.0) / part);
		long millis = MIN_RETURN_MILLIS + (long) (ahead + this.random.nextDouble() * own);
		return Math.max(1, Math.min(millis, remainingMillis / MAX_RETURN_PART));
	}

	AdmissionDecision.Refuse refusal(long returnMillis, double share, int reporters, long figuresAgeMillis) {
		return new AdmissionDecision.Refuse(returnMillis, share, lateShare(), Math.round(this.demandPerSecond),
				Math.round(this.capacityPerSecond), reporters, figuresAgeMillis);
	}

	/** Work that was offered to this instance. */
	private static final class Offered {

		private final DemandRate all = new DemandRate();

		private final DemandRate returned = new DemandRate();

		void add(double costMillis, boolean returning, long nowMillis) {
			this.all.add(costMillis, nowMillis);
			if (returning) {
				this.returned.add(costMillis, nowMillis);
			}
		}

		double returningPart(long nowMillis) {
			double perSecond = this.all.perSecond(nowMillis);
			return (perSecond > 0) ? Math.min(1, this.returned.perSecond(nowMillis) / perSecond) : 0;
		}

	}

}
