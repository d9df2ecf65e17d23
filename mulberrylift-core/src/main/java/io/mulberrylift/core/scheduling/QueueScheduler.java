package io.mulberrylift.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.EndpointState;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.time.Moment;

/**
 * Runs requests in order of arrival on the endpoint with the fewest outstanding tokens.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer.
 * </p>
 */
public final class QueueScheduler implements Scheduler {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final FleetState fleet;

	private final Map<Long, PendingRequest> queue = new LinkedHashMap<>();

	private final Map<EndpointId, Long> outstandingTokens = new HashMap<>();

	private final Map<Long, PendingRequest> running = new HashMap<>();

	/**
	 * Creates the scheduler.
	 * @param fleet the shared state
	 */
	public QueueScheduler(FleetState fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
	}

	@Override
	public Optional<Refusal> admit(PendingRequest request, Moment now) {
		int limit = this.fleet.configuration().orElseThrow().routing().maxQueuedRequests();
		if (this.queue.size() >= limit) {
			return Optional.of(Refusal.retryable(Outcome.NOT_RUN, RefusalReason.OVERLOADED,
					limit + " requests are waiting", RETRY_AFTER_MILLIS));
		}
		if (choose(request, now).isEmpty()) {
			return Optional.of(Refusal.retryable(Outcome.NOT_RUN, RefusalReason.NO_ENDPOINT,
					"No endpoint serves " + request.spec().target() + " now", RETRY_AFTER_MILLIS));
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
		List<Assignment> assignments = new ArrayList<>();
		for (PendingRequest request : List.copyOf(this.queue.values())) {
			if (request.notBeforeMonotonicMillis() <= now.monotonicMillis()) {
				choose(request, now).ifPresent((endpoint) -> assignments.add(assign(request, endpoint)));
			}
		}
		return assignments;
	}

	private Assignment assign(PendingRequest request, EndpointId endpoint) {
		this.queue.remove(request.requestId());
		this.running.put(request.requestId(), request);
		this.outstandingTokens.merge(endpoint, costTokens(request), Long::sum);
		return new Assignment(request.requestId(), endpoint, List.of(), 0, request.profile().priority());
	}

	private Optional<EndpointId> choose(PendingRequest request, Moment now) {
		Comparator<EndpointState> byLoad = Comparator
			.comparingLong((endpoint) -> this.outstandingTokens.getOrDefault(endpoint.id(), 0L));
		return this.fleet.endpoints()
			.stream()
			.filter((endpoint) -> serves(endpoint, request))
			.filter((endpoint) -> endpoint.accepts(now.monotonicMillis()))
			.min(byLoad)
			.map(EndpointState::id);
	}

	private static boolean serves(EndpointState endpoint, PendingRequest request) {
		return endpoint.description().kind() == request.spec().kind()
				&& endpoint.description().targets().contains(request.spec().target())
				&& !request.excluded().contains(endpoint.id());
	}

	private static long costTokens(PendingRequest request) {
		return 1 + request.spec().totalTokens();
	}

	@Override
	public void remove(long requestId) {
		this.queue.remove(requestId);
	}

	@Override
	public void started(long requestId, Moment now) {
		// The order of arrival does not depend on progress.
	}

	@Override
	public void ended(AttemptReport report, Moment now) {
		PendingRequest request = this.running.remove(report.requestId());
		if (request != null) {
			this.outstandingTokens.merge(report.endpoint(), -costTokens(request), Long::sum);
		}
	}

	@Override
	public void reported(EndpointEvent.LoadReported event) {
		// Only this instance's own work is counted.
	}

	@Override
	public void cacheChanged(EndpointEvent.CacheChanged event) {
		// The prefix cache is not considered.
	}

	@Override
	public int queuedRequests() {
		return this.queue.size();
	}

	@Override
	public long nextWakeMonotonicMillis() {
		return this.queue.values()
			.stream()
			.mapToLong(PendingRequest::notBeforeMonotonicMillis)
			.min()
			.orElse(Long.MAX_VALUE);
	}

	@Override
	public Object describe() {
		return Map.of("queued", this.queue.size(), "running", this.running.size(), "outstandingTokens",
				new HashMap<>(this.outstandingTokens));
	}

}
