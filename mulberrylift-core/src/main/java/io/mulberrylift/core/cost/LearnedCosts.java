package io.mulberrylift.core.cost;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.gossip.CostFigure;
import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.ObservedLoad;
import io.mulberrylift.core.placement.WorkItem;
import io.mulberrylift.core.placement.WorkTable;

/**
 * What requests of plain services cost and what each endpoint still has to do, learned
 * from the attempts of this instance, what its peers tell and the loads that endpoints
 * report.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Its size is bounded by {@link CostTable} and the
 * requests in progress. It only orders endpoints: a wrong estimate makes answers late.
 * </p>
 */
public final class LearnedCosts {

	/** Rounds of the approximation of a waiting time. */
	private static final int ROUNDS = 6;

	/** Share of its time that a request must have run for its cost to be learned. */
	private static final double MIN_RUN_SHARE = 0.75;

	/** Number of mean durations in which reported loads lose most of their meaning. */
	private static final double LOAD_AGE_DURATIONS = 4;

	/** Maximum number of requests per slot that a reported load counts for. */
	private static final int MAX_REPORTED_PER_SLOT = 16;

	/** Mean time after which peers tell that a request has ended. */
	private static final long END_DELAY_MILLIS = 60;

	/** Units of ratios of times to the expected ones. */
	private static final int RATIO_UNITS = 100;

	private static final double MIN_MILLIS = 1;

	private final CostTable costs = new CostTable();

	private final PublishedCosts published = new PublishedCosts();

	private final Map<Long, OwnAttempt> attempts = new HashMap<>();

	private final Map<Integer, Map<Long, OwnAttempt>> attemptsByEndpoint = new HashMap<>();

	private final Map<Integer, Integer> slotsByEndpoint = new HashMap<>();

	private final Map<Integer, ReportedLoad> loads = new HashMap<>();

	private final Map<Integer, Long> startedByEndpoint = new HashMap<>();

	/** Distribution of the factors by which expected times were wrong, in percent. */
	private final DurationSketch errors = new DurationSketch();

	/**
	 * Estimates when a request would be complete at an endpoint.
	 * @param work the endpoint with the requests there
	 * @param subject the request's route
	 * @param nowMillis the current time
	 * @return the estimate
	 */
	public CompletionEstimate estimate(EndpointWork work, CostSubject subject, long nowMillis) {
		ForwardEndpoint endpoint = work.endpoint();
		Optional<DurationSketch> known = this.costs.serviceTimes(subject);
		if (known.isEmpty()) {
			return CompletionEstimate.unknown(work.slotsInUse(), endpoint.slots());
		}
		DurationSketch service = known.get();
		DurationSketch route = this.costs.times(subject).orElse(service);
		int hash = WorkTable.hash(endpoint.id());
		double pace = this.costs.paceFactor(hash, nowMillis);
		double residualMillis = Math.max(MIN_MILLIS, service.meanResidual());
		double[] own = this.attemptsByEndpoint.getOrDefault(hash, Map.of())
			.values()
			.stream()
			.mapToDouble((attempt) -> this.costs.times(attempt.subject())
				.orElse(service)
				.meanRemaining(attempt.runningMillis(nowMillis) / pace))
			.toArray();
		OthersWork others = othersWork(work, hash, subject, residualMillis, nowMillis);
		int slots = endpoint.slots();
		double waitMillis = waitMillis(own, others, residualMillis, slots);
		double routeMillis = Math.max(MIN_MILLIS, route.mean());
		double busyMillis = waitMillis + residualMillis * (slots - 1) / slots;
		double cost = (pace * (busyMillis + routeMillis) - routeMillis) / residualMillis;
		return new CompletionEstimate(cost, pace * Math.max(0, waitMillis),
				pace * (Math.max(0, waitMillis) + routeMillis), pace, Math.round(route.weight()),
				nowMillis - route.lastObservedMillis());
	}

	/**
	 * Returns the time until a slot is free for another request. When it becomes free,
	 * the requests in the other slots are in the middle of their work, and a long one
	 * occupies only its own slot until then.
	 * @param own remaining times of this instance's requests
	 * @param others the requests of others
	 * @param residualMillis mean remaining time of a running request
	 * @param slots number of slots
	 * @return the time; negative if there are free slots, by how much work they could
	 * take
	 */
	private static double waitMillis(double[] own, OthersWork others, double residualMillis, int slots) {
		double waitMillis = sum(own, Double.MAX_VALUE) + others.sum(Double.MAX_VALUE);
		for (int round = 0; round < ROUNDS; round++) {
			double longest = Math.max(0, waitMillis) + residualMillis;
			double sum = sum(own, longest) + others.sum(longest);
			waitMillis = (sum - (slots - 1) * residualMillis) / slots;
		}
		return waitMillis;
	}

	private static double sum(double[] millis, double longest) {
		double sum = 0;
		for (double each : millis) {
			sum += Math.min(each, longest);
		}
		return sum;
	}

	private OthersWork othersWork(EndpointWork work, int hash, CostSubject subject, double residualMillis,
			long nowMillis) {
		Optional<DurationSketch> ratios = this.costs.ratios(subject);
		List<WorkItem> items = new ArrayList<>(work.items());
		for (OwnAttempt attempt : this.attemptsByEndpoint.getOrDefault(hash, Map.of()).values()) {
			removeOwn(items, attempt);
		}
		double[] running = new double[items.size()];
		double[] remaining = new double[items.size()];
		double toldRequests = 0;
		for (int index = 0; index < remaining.length; index++) {
			WorkItem item = items.get(index);
			running[index] = runningShare(item, ratios, nowMillis);
			toldRequests += running[index];
			remaining[index] = remainingMillis(item, ratios, residualMillis, nowMillis);
		}
		ReportedLoad load = this.loads.get(hash);
		if (load == null || load.otherRequests() <= toldRequests) {
			return new OthersWork(running, remaining, 0);
		}
		// The endpoint reported more requests than peers told of.
		double trust = Math.exp((load.receivedMillis() - nowMillis) / (LOAD_AGE_DURATIONS * residualMillis));
		return new OthersWork(running, remaining, trust * (load.otherRequests() - toldRequests) * residualMillis);
	}

	private static void removeOwn(List<WorkItem> items, OwnAttempt attempt) {
		for (int index = 0; index < items.size(); index++) {
			WorkItem item = items.get(index);
			if (item.firstTokenDueMillis() == attempt.estimate().startMillis(attempt.sentMillis())
					&& item.expectedFirstTokenMillis() == attempt.estimate().endMillis(attempt.sentMillis())) {
				items.remove(index);
				return;
			}
		}
	}

	private static double runningShare(WorkItem item, Optional<DurationSketch> ratios, long nowMillis) {
		double expectedMillis = expectedMillis(item);
		double elapsedMillis = nowMillis - item.firstTokenDueMillis();
		if (ratios.isEmpty() || expectedMillis <= 0 || elapsedMillis <= 0) {
			// The last two: it waits, or the peer did not know such requests.
			return 1;
		}
		double unit = expectedMillis / RATIO_UNITS;
		// Peers tell ends with a delay: how likely is it that it has not ended yet?
		double before = ratios.get().shareOver((elapsedMillis - END_DELAY_MILLIS) / unit);
		return (before > 0) ? ratios.get().shareOver(elapsedMillis / unit) / before : 0.5;
	}

	private static double expectedMillis(WorkItem item) {
		// The times of prompts, which hold memory, have another meaning.
		return (item.memoryTokens() > 0) ? 0 : item.expectedFirstTokenMillis() - item.firstTokenDueMillis();
	}

	private static double remainingMillis(WorkItem item, Optional<DurationSketch> ratios, double residualMillis,
			long nowMillis) {
		double expectedMillis = expectedMillis(item);
		if (expectedMillis <= 0 || ratios.isEmpty()) {
			return residualMillis;
		}
		double elapsedMillis = Math.max(0, nowMillis - item.firstTokenDueMillis());
		double unit = expectedMillis / RATIO_UNITS;
		return unit * ratios.get().meanRemaining(elapsedMillis / unit);
	}

	/**
	 * Records that an attempt was sent.
	 * @param requestId the request
	 * @param endpoint the endpoint
	 * @param subject the request's route
	 * @param estimate what is expected
	 * @param nowMillis the current time
	 */
	public void sent(long requestId, ForwardEndpoint endpoint, CostSubject subject, CompletionEstimate estimate,
			long nowMillis) {
		forget(requestId, nowMillis);
		int hash = WorkTable.hash(endpoint.id());
		OwnAttempt attempt = new OwnAttempt(hash, subject, nowMillis, estimate);
		this.attempts.put(requestId, attempt);
		this.attemptsByEndpoint.computeIfAbsent(hash, (key) -> new LinkedHashMap<>()).put(requestId, attempt);
		this.slotsByEndpoint.put(hash, endpoint.slots());
		release(hash, nowMillis);
	}

	private void release(int endpointHash, long nowMillis) {
		this.attemptsByEndpoint.getOrDefault(endpointHash, Map.of())
			.values()
			.stream()
			.limit(this.slotsByEndpoint.getOrDefault(endpointHash, Integer.MAX_VALUE))
			.forEach((attempt) -> attempt.release(nowMillis));
	}

	/**
	 * Records that an attempt was answered completely.
	 * @param requestId the request; nothing is recorded if it is not known
	 * @param nowMillis the current time
	 */
	public void completed(long requestId, long nowMillis) {
		OwnAttempt attempt = forget(requestId, nowMillis);
		if (attempt == null) {
			return;
		}
		double elapsedMillis = Math.max(MIN_MILLIS, nowMillis - attempt.sentMillis());
		double ranMillis = ranMillis(attempt, nowMillis);
		double expectedMillis = attempt.estimate().totalMillis();
		if (expectedMillis > 0) {
			double factor = Math.max(elapsedMillis / expectedMillis, expectedMillis / elapsedMillis);
			this.errors.record(DurationSketch.bucket(RATIO_UNITS * factor), 1, nowMillis);
			this.costs.recordRatio(attempt.subject(),
					DurationSketch.bucket(RATIO_UNITS * ranMillis / (expectedMillis - attempt.estimate().waitMillis())),
					nowMillis);
		}
		recordPace(attempt, nowMillis);
		if (ranMillis >= MIN_RUN_SHARE * elapsedMillis) {
			int bucket = DurationSketch.bucket(ranMillis);
			this.costs.recordTime(attempt.subject(), bucket, 1, nowMillis);
			this.published.addTime(attempt.subject(), bucket);
		}
	}

	private static double ranMillis(OwnAttempt attempt, long nowMillis) {
		double elapsedMillis = Math.max(MIN_MILLIS, nowMillis - attempt.sentMillis());
		return Math.max(attempt.runningMillis(nowMillis), (1 - MIN_RUN_SHARE) * elapsedMillis);
	}

	private void recordPace(OwnAttempt attempt, long nowMillis) {
		Optional<DurationSketch> usual = this.costs.times(attempt.subject());
		if (usual.isEmpty()) {
			return;
		}
		double logRatio = Math.log(ranMillis(attempt, nowMillis)) - usual.get().logMean();
		this.costs.recordPace(attempt.endpointHash(), logRatio, usual.get().logVariance(), 1, nowMillis);
		this.published.addPace(attempt.endpointHash(), logRatio);
	}

	/**
	 * Records that the time of an attempt passed without an answer.
	 * @param requestId the request; nothing is recorded if it is not known
	 * @param nowMillis the current time
	 */
	public void expired(long requestId, long nowMillis) {
		OwnAttempt attempt = forget(requestId, nowMillis);
		if (attempt != null && nowMillis - attempt.sentMillis() > attempt.estimate().totalMillis()) {
			recordPace(attempt, nowMillis);
		}
	}

	/**
	 * Removes an attempt that tells nothing about costs, such as one that failed or whose
	 * caller left.
	 * @param requestId the request
	 * @param nowMillis the current time
	 * @return the attempt, null if it is not known
	 */
	private OwnAttempt forget(long requestId, long nowMillis) {
		OwnAttempt attempt = this.attempts.remove(requestId);
		if (attempt != null) {
			this.attemptsByEndpoint.computeIfPresent(attempt.endpointHash(), (hash, known) -> {
				known.remove(requestId);
				return known.isEmpty() ? null : known;
			});
			release(attempt.endpointHash(), nowMillis);
		}
		return attempt;
	}

	/**
	 * Removes an attempt that tells nothing about costs.
	 * @param requestId the request
	 * @param nowMillis the current time
	 */
	public void ended(long requestId, long nowMillis) {
		forget(requestId, nowMillis);
	}

	/**
	 * Records the load that an endpoint reported. Requests of this instance that are in
	 * progress there are part of it and are not counted again.
	 * @param endpoint the endpoint
	 * @param load the load
	 * @param nowMillis the current time
	 */
	public void loadReported(ForwardEndpoint endpoint, ObservedLoad load, long nowMillis) {
		int hash = WorkTable.hash(endpoint.id());
		long requests = Math.min((long) load.running() + load.waiting(),
				(long) MAX_REPORTED_PER_SLOT * endpoint.slots());
		int own = this.attemptsByEndpoint.getOrDefault(hash, Map.of()).size();
		this.loads.put(hash, new ReportedLoad(Math.max(0, requests - own), nowMillis));
	}

	/**
	 * Forgets endpoints that are no longer listed, and what was learned about those that
	 * started again.
	 * @param listed the listed endpoints
	 */
	public void endpointsListed(Collection<ForwardEndpoint> listed) {
		Set<Integer> hashes = listed.stream().map((each) -> WorkTable.hash(each.id())).collect(Collectors.toSet());
		this.costs.retainPaces(hashes);
		this.loads.keySet().retainAll(hashes);
		this.slotsByEndpoint.keySet().retainAll(hashes);
		this.startedByEndpoint.keySet().retainAll(hashes);
		for (ForwardEndpoint endpoint : listed) {
			int hash = WorkTable.hash(endpoint.id());
			Long before = this.startedByEndpoint.put(hash, endpoint.startedEpochMillis());
			if (before != null && before != endpoint.startedEpochMillis()) {
				this.costs.forgetPace(hash);
				this.loads.remove(hash);
			}
		}
	}

	/**
	 * Removes and returns observations to be told to peers.
	 * @param maxCount maximum number of figures
	 * @return the figures
	 */
	public List<CostFigure> pollPublished(int maxCount) {
		return this.published.poll(maxCount);
	}

	/**
	 * Adds observations of a peer.
	 * @param figures the figures
	 * @param nowMillis the current time
	 */
	public void applyFromPeer(List<CostFigure> figures, long nowMillis) {
		figures.forEach((each) -> PublishedCosts.apply(each, this.costs, nowMillis));
	}

	/**
	 * Returns the number of estimates held.
	 * @return the number, bounded
	 */
	public int size() {
		return this.costs.size();
	}

	/**
	 * Returns the median factor by which recent expected times were wrong.
	 * @return the factor, at least 1; 1 without observations
	 */
	public double medianErrorFactor() {
		return Math.max(1, this.errors.quantile(0.5) / RATIO_UNITS);
	}

	/**
	 * Work of others at an endpoint.
	 *
	 * @param running probabilities that the requests that peers told of have not ended
	 * @param remaining expected remaining times of those that have not
	 * @param correctionMillis work that the endpoint reported in addition, negative for
	 * less
	 */
	private record OthersWork(double[] running, double[] remaining, double correctionMillis) {

		double sum(double longest) {
			double sum = this.correctionMillis;
			for (int index = 0; index < this.running.length; index++) {
				sum += this.running[index] * Math.min(this.remaining[index], longest);
			}
			return sum;
		}

	}

	private record ReportedLoad(long otherRequests, long receivedMillis) {
	}

}
