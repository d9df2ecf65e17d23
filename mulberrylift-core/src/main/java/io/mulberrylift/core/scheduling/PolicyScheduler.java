package io.mulberrylift.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.time.Moment;

/**
 * Runs requests in order of arrival on the endpoint that the configured policy chooses.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. A request is either queued
 * or running, never both.
 * </p>
 */
public final class PolicyScheduler implements Scheduler {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final long RETRY_ASSIGN_MILLIS = 20;

	private final FleetLoad fleet;

	private final Map<Long, PendingRequest> queue = new LinkedHashMap<>();

	private final Map<Long, RunningWork> running = new HashMap<>();

	private long lastAssignMonotonicMillis;

	/**
	 * Creates the scheduler.
	 * @param fleet the shared state
	 * @param random source of samples
	 * @throws NullPointerException if an argument is null
	 */
	public PolicyScheduler(FleetState fleet, RandomGenerator random) {
		this.fleet = new FleetLoad(Objects.requireNonNull(fleet, "fleet"), random);
	}

	@Override
	public Optional<Refusal> admit(PendingRequest request, Moment now) {
		int limit = this.fleet.settings().maxQueuedRequests();
		if (this.queue.size() >= limit) {
			return Optional.of(Refusal.retryable(Outcome.NOT_RUN, RefusalReason.OVERLOADED,
					limit + " requests are waiting", RETRY_AFTER_MILLIS));
		}
		List<EndpointLoad> candidates = this.fleet.candidates(request, now.monotonicMillis());
		if (candidates.isEmpty()) {
			return Optional.of(Refusal.retryable(Outcome.NOT_RUN, RefusalReason.NO_ENDPOINT,
					"No endpoint serves " + request.spec().target() + " now", RETRY_AFTER_MILLIS));
		}
		if (!GangPlanner.fitsOne(request, candidates) && !GangPlanner.fitsGang(request, candidates)) {
			return Optional.of(Refusal.of(Outcome.NOT_RUN, RefusalReason.PROMPT_TOO_LONG, request.spec().totalTokens()
					+ " tokens exceed the memory of " + GangPlanner.MAX_MEMBERS + " engines"));
		}
		this.queue.put(request.requestId(), request);
		return Optional.empty();
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
		for (PendingRequest request : List.copyOf(this.queue.values())) {
			if (request.notBeforeMonotonicMillis() <= now.monotonicMillis()) {
				plan(request, now.monotonicMillis()).ifPresent((assignment) -> {
					take(request, assignment, now.monotonicMillis());
					assignments.add(assignment);
				});
			}
		}
		return assignments;
	}

	private Optional<Assignment> plan(PendingRequest request, long nowMonotonicMillis) {
		List<EndpointLoad> candidates = this.fleet.candidates(request, nowMonotonicMillis);
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		if (!GangPlanner.fitsOne(request, candidates)) {
			return GangPlanner.plan(request, candidates, nowMonotonicMillis);
		}
		candidates
			.removeIf((candidate) -> candidate.state().description().memoryTokens() < request.spec().totalTokens());
		RoutingPolicy policy = RoutingPolicy.ofLabel(this.fleet.settings().policy()).orElse(RoutingPolicy.SLACK);
		EndpointLoad chosen = policy.choose(request, candidates, this.fleet, nowMonotonicMillis);
		return Optional
			.of(new Assignment(request.requestId(), chosen.state().id(), List.of(), 0, request.profile().priority()));
	}

	private void take(PendingRequest request, Assignment assignment, long nowMonotonicMillis) {
		this.queue.remove(request.requestId());
		EndpointLoad load = this.fleet.loadOrNull(assignment.endpoint());
		int prefillTokens = request.spec().promptTokens() - load.cachedTokens(request.spec());
		RunningWork work = new RunningWork(request, assignment, prefillTokens, nowMonotonicMillis);
		this.running.put(request.requestId(), work);
		load.dispatched(work);
		assignment.members()
			.stream()
			.filter((member) -> !member.equals(assignment.endpoint()))
			.forEach((member) -> this.fleet.loadOrNull(member)
				.dispatched(new RunningWork(request, assignment, 0, nowMonotonicMillis)));
	}

	@Override
	public void remove(long requestId) {
		this.queue.remove(requestId);
	}

	@Override
	public void started(long requestId, Moment now) {
		RunningWork work = this.running.get(requestId);
		if (work != null) {
			work.firstToken();
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
			load.speed().learn(report, work.assignment().members().isEmpty());
		}
		work.assignment().members().forEach((member) -> {
			EndpointLoad memberLoad = this.fleet.loadOrNull(member);
			if (memberLoad != null) {
				memberLoad.ended(report.requestId());
			}
		});
	}

	@Override
	public void reported(EndpointEvent.LoadReported event) {
		EndpointLoad load = this.fleet.loadOrNull(event.endpoint());
		if (load != null) {
			load.reported(event);
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
		long soonest = Long.MAX_VALUE;
		for (PendingRequest request : this.queue.values()) {
			soonest = Math.min(soonest, request.notBeforeMonotonicMillis());
		}
		return Math.max(soonest, this.lastAssignMonotonicMillis + RETRY_ASSIGN_MILLIS);
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
