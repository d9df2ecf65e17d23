package io.mulberrylift.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.configuration.WorkspaceSettings;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fairness.TokenRateLimiter;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.time.Moment;

/**
 * Scheduler that assigns requests to the endpoints selected by the configured policy, in
 * order of arrival or, if the policy predicts completion times, in order of slack.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A request is either queued or running, never
 * both.
 * </p>
 */
public final class PolicyScheduler implements Scheduler {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

	private static final long ASSIGN_INTERVAL_MILLIS = 20;

	private final FleetLoad fleet;

	private final Map<Long, PendingRequest> queue = new LinkedHashMap<>();

	private final Map<Long, RunningWork> running = new HashMap<>();

	private final SlackOrder order;

	private final TokenRateLimiter rateLimiter = new TokenRateLimiter();

	private long lastAssignMonotonicMillis;

	/**
	 * Creates the scheduler.
	 * @param fleet the shared state
	 * @param random source of randomness for the policies
	 * @throws NullPointerException if an argument is null
	 */
	public PolicyScheduler(FleetState fleet, RandomGenerator random) {
		this.fleet = new FleetLoad(Objects.requireNonNull(fleet, "fleet"), random);
		this.order = new SlackOrder(this.fleet);
	}

	@Override
	public Optional<Refusal> admit(PendingRequest request, Moment now) {
		int limit = this.fleet.settings().maxQueuedRequests();
		if (this.queue.size() >= limit) {
			return Optional.of(Refusal.retryable(Outcome.NOT_RUN, RefusalReason.OVERLOADED,
					limit + " requests are queued", RETRY_AFTER_MILLIS));
		}
		List<EndpointLoad> candidates = this.fleet.candidates(request, now.monotonicMillis());
		if (candidates.isEmpty()) {
			return Optional.of(Refusal.retryable(Outcome.NOT_RUN, RefusalReason.NO_ENDPOINT,
					"No endpoint serves " + request.spec().target() + " now", RETRY_AFTER_MILLIS));
		}
		if (!GangPlanner.fitsOneEngine(request, candidates) && !GangPlanner.fitsGang(request, candidates)) {
			return Optional.of(Refusal.of(Outcome.NOT_RUN, RefusalReason.PROMPT_TOO_LONG, request.spec().totalTokens()
					+ " tokens exceed the memory of " + GangPlanner.MAX_MEMBERS + " engines"));
		}
		if (policy().predictsCompletion()) {
			Optional<Refusal> refusal = refuseUnreachableDeadline(request, candidates, now.monotonicMillis());
			if (refusal.isPresent()) {
				return refusal;
			}
		}
		Optional<Refusal> refusal = refuseOverRateLimit(request, now.monotonicMillis());
		if (refusal.isEmpty()) {
			this.queue.put(request.requestId(), request);
		}
		return refusal;
	}

	private Optional<Refusal> refuseOverRateLimit(PendingRequest request, long nowMonotonicMillis) {
		WorkspaceSettings settings = this.fleet.fleet()
			.configuration()
			.orElseThrow()
			.workspaces()
			.get(request.spec().workspace().value());
		if (settings == null) {
			return Optional.empty();
		}
		long waitMillis = this.rateLimiter.tryAcquire(request.spec().workspace(), request.spec().totalTokens(),
				settings.maxTokensPerSecond(), this.fleet.liveInstances(), nowMonotonicMillis);
		if (waitMillis == 0) {
			return Optional.empty();
		}
		return Optional
			.of(Refusal.retryable(
					Outcome.NOT_RUN, RefusalReason.OVERLOADED, "Workspace " + request.spec().workspace()
							+ " exceeds its limit of " + settings.maxTokensPerSecond() + " tokens per second",
					waitMillis));
	}

	private long queuedPromptTokens() {
		long tokens = 0;
		for (PendingRequest request : this.queue.values()) {
			tokens += request.spec().promptTokens();
		}
		return tokens;
	}

	private Optional<Refusal> refuseUnreachableDeadline(PendingRequest request, List<EndpointLoad> candidates,
			long nowMonotonicMillis) {
		double latenessMillis = predictedLatenessMillis(request, candidates, nowMonotonicMillis);
		return (latenessMillis > 0) ? Optional.of(deadlineUnreachable(latenessMillis)) : Optional.empty();
	}

	private double predictedLatenessMillis(PendingRequest request, List<EndpointLoad> candidates,
			long nowMonotonicMillis) {
		double completionMillis = SlackRouting.earliestCompletionMillis(request, candidates, this.fleet,
				queuedPromptTokens(), nowMonotonicMillis);
		return nowMonotonicMillis + completionMillis - request.deadlineMonotonicMillis();
	}

	private static Refusal deadlineUnreachable(double latenessMillis) {
		long retryAfterMillis = Math
			.round(Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(latenessMillis, RETRY_AFTER_MILLIS)));
		return Refusal.retryable(Outcome.NOT_RUN, RefusalReason.DEADLINE_UNREACHABLE,
				"The predicted completion is " + Math.round(Math.max(latenessMillis, 1)) + " ms after the deadline",
				retryAfterMillis);
	}

	private RoutingPolicy policy() {
		return RoutingPolicy.ofLabel(this.fleet.settings().policy()).orElse(RoutingPolicy.SLACK);
	}

	@Override
	public void requeue(PendingRequest request, Moment now) {
		this.queue.put(request.requestId(), request);
	}

	@Override
	public List<Assignment> assign(Moment now) {
		if (this.queue.isEmpty()) {
			return List.of();
		}
		this.lastAssignMonotonicMillis = now.monotonicMillis();
		List<Assignment> assignments = new ArrayList<>();
		for (PendingRequest request : queueInOrder()) {
			if (request.notBeforeMonotonicMillis() <= now.monotonicMillis()) {
				plan(request, now.monotonicMillis()).ifPresent((assignment) -> {
					dispatch(request, assignment, now.monotonicMillis());
					assignments.add(assignment);
				});
			}
		}
		return assignments;
	}

	@Override
	public List<InfeasibleRequest> removeInfeasible(Moment now) {
		if (this.queue.isEmpty() || !policy().predictsCompletion()) {
			return List.of();
		}
		List<InfeasibleRequest> infeasible = new ArrayList<>();
		for (PendingRequest request : this.queue.values()) {
			List<EndpointLoad> candidates = this.fleet.candidates(request, now.monotonicMillis());
			if (!candidates.isEmpty() && cannotMeetDeadline(request, candidates, now.monotonicMillis())) {
				double latenessMillis = predictedLatenessMillis(request, candidates, now.monotonicMillis());
				infeasible.add(new InfeasibleRequest(request.requestId(), deadlineUnreachable(latenessMillis)));
			}
		}
		infeasible.forEach((request) -> this.queue.remove(request.requestId()));
		return infeasible;
	}

	private List<PendingRequest> queueInOrder() {
		return policy().predictsCompletion() ? this.order.sort(this.queue.values()) : List.copyOf(this.queue.values());
	}

	private Optional<Assignment> plan(PendingRequest request, long nowMonotonicMillis) {
		List<EndpointLoad> candidates = this.fleet.candidates(request, nowMonotonicMillis);
		if (candidates.isEmpty() || cannotMeetDeadline(request, candidates, nowMonotonicMillis)) {
			return Optional.empty();
		}
		boolean fitsOne = GangPlanner.fitsOneEngine(request, candidates);
		int memberCount = fitsOne ? 1 : GangPlanner.memberCount(request, candidates);
		boolean large = policy().predictsCompletion() && SlackRouting.isLarge(request, candidates.get(0));
		if (large) {
			this.order.removeReserved(candidates);
		}
		Optional<Assignment> assignment = fitsOne ? planOneEngine(request, candidates, nowMonotonicMillis)
				: GangPlanner.plan(request, candidates, (candidate) -> policy().mayRun(request, candidate, this.fleet),
						policy().enginePriority(request), nowMonotonicMillis);
		if (assignment.isEmpty() && large && this.order.isUrgent(request, nowMonotonicMillis)) {
			candidates.removeIf((candidate) -> !policy().mayRun(request, candidate, this.fleet));
			this.order.reserve(candidates, memberCount);
		}
		return assignment;
	}

	private boolean cannotMeetDeadline(PendingRequest request, List<EndpointLoad> candidates, long nowMonotonicMillis) {
		long startMonotonicMillis = Math.max(nowMonotonicMillis, request.notBeforeMonotonicMillis());
		return policy().predictsCompletion() && startMonotonicMillis
				+ SlackRouting.minDurationMillis(request, candidates) > request.deadlineMonotonicMillis();
	}

	private Optional<Assignment> planOneEngine(PendingRequest request, List<EndpointLoad> candidates,
			long nowMonotonicMillis) {
		candidates
			.removeIf((candidate) -> candidate.state().description().memoryTokens() < request.spec().totalTokens());
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		EndpointLoad selected = policy().choose(request, candidates, this.fleet, nowMonotonicMillis);
		return Optional.ofNullable(selected)
			.map((endpoint) -> new Assignment(request.requestId(), endpoint.state().id(), List.of(), 0,
					policy().enginePriority(request)));
	}

	private void dispatch(PendingRequest request, Assignment assignment, long nowMonotonicMillis) {
		this.queue.remove(request.requestId());
		EndpointLoad load = this.fleet.loadOrNull(assignment.endpoint());
		int prefillTokens = request.spec().promptTokens() - load.cachedTokens(request.spec());
		boolean duringLongPrefill = load.prefillTokens(nowMonotonicMillis) > Prediction.LONG_BACKLOG_TOKENS;
		RunningWork work = new RunningWork(request, assignment, prefillTokens, duringLongPrefill, nowMonotonicMillis);
		this.running.put(request.requestId(), work);
		load.dispatched(work);
		this.order.charge(request, prefillTokens, nowMonotonicMillis);
		assignment.members()
			.stream()
			.filter((member) -> !member.equals(assignment.endpoint()))
			.forEach((member) -> this.fleet.loadOrNull(member)
				.dispatched(new RunningWork(request, assignment, 0, false, nowMonotonicMillis)));
	}

	@Override
	public void remove(long requestId) {
		this.queue.remove(requestId);
	}

	@Override
	public void firstTokenReceived(long requestId, Moment now) {
		RunningWork work = this.running.get(requestId);
		if (work != null) {
			work.firstTokenReceived();
		}
	}

	@Override
	public void ended(AttemptReport report, Moment now) {
		RunningWork work = this.running.remove(report.requestId());
		if (work == null) {
			return;
		}
		EndpointLoad load = this.fleet.loadOrNull(report.endpoint());
		if (load != null) {
			load.ended(report.requestId());
			load.speed().update(report, work.assignment().members().isEmpty(), work.duringLongPrefill());
			this.fleet.answerLengths().update(work.request(), report);
		}
		work.assignment().members().forEach((member) -> {
			EndpointLoad memberLoad = this.fleet.loadOrNull(member);
			if (memberLoad != null) {
				memberLoad.ended(report.requestId());
			}
		});
	}

	@Override
	public void loadReported(EndpointEvent.LoadReported event) {
		EndpointLoad load = this.fleet.loadOrNull(event.endpoint());
		if (load != null) {
			load.loadReported(event);
		}
	}

	@Override
	public void cacheChanged(EndpointEvent.CacheChanged event) {
		EndpointLoad load = this.fleet.loadOrNull(event.endpoint());
		if (load != null) {
			load.cacheChanged(event);
		}
	}

	@Override
	public int queuedRequests() {
		return this.queue.size();
	}

	@Override
	public long nextWakeMonotonicMillis() {
		if (this.queue.isEmpty()) {
			return Long.MAX_VALUE;
		}
		long earliestMonotonicMillis = Long.MAX_VALUE;
		for (PendingRequest request : this.queue.values()) {
			earliestMonotonicMillis = Math.min(earliestMonotonicMillis, request.notBeforeMonotonicMillis());
		}
		return Math.max(earliestMonotonicMillis, this.lastAssignMonotonicMillis + ASSIGN_INTERVAL_MILLIS);
	}

	@Override
	public Object describe() {
		String policy = this.fleet.fleet()
			.configuration()
			.map((configuration) -> configuration.routing().policy())
			.orElse("none before a configuration");
		return Map.of("policy", policy, "queued", this.queue.size(), "running", this.running.size(), "endpoints",
				this.fleet.describe());
	}

}
