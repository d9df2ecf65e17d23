package io.mulberrylift.core.request;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.fleet.EndpointState;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.isolation.CrashGuard;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.scheduling.AttemptReport;
import io.mulberrylift.core.scheduling.Scheduler;
import io.mulberrylift.core.time.Moment;

/**
 * Starts and ends attempts and updates the components that count them: the request table,
 * the endpoint's state, the scheduler and the crash guard.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Each started attempt ends exactly once, as
 * finished, failed or cancelled; each assignment that led to no attempt is released.
 * </p>
 */
final class AttemptLifecycle {

	private static final long DISPATCH_LEASE_MILLIS = 2_000;

	private final FleetState fleet;

	private final Scheduler scheduler;

	private final CrashGuard crashGuard;

	private final RequestTable table;

	private long nextAttemptId = 1;

	AttemptLifecycle(FleetState fleet, Scheduler scheduler, CrashGuard crashGuard, RequestTable table) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
		this.crashGuard = Objects.requireNonNull(crashGuard, "crashGuard");
		this.table = Objects.requireNonNull(table, "table");
	}

	/**
	 * Starts an attempt of an assigned request.
	 * @param entry the request
	 * @param now the current time
	 * @param effects receives the dispatch
	 */
	void start(RequestEntry entry, Moment now, Effects effects) {
		entry.phase = RequestPhase.RUNNING;
		entry.attemptId = this.nextAttemptId++;
		entry.attemptsMade++;
		entry.dispatchedMonotonicMillis = now.monotonicMillis();
		entry.firstTokenMillis = -1;
		this.table.attemptStarted(entry);
		endpoint(entry).ifPresent(EndpointState::attemptStarted);
		this.crashGuard.attemptStarted(entry.attemptId, entry.spec.fingerprint(), entry.endpoint);
		long remainingMillis = entry.deadlineMonotonicMillis - now.monotonicMillis();
		long notAfterMonotonicMillis = now.monotonicMillis() + Math.min(remainingMillis, DISPATCH_LEASE_MILLIS);
		effects.count(Part.REQUEST, "dispatched");
		effects.add(new AttemptEffect.Dispatch(entry.attemptId, entry.requestId(), entry.endpoint,
				entry.assignment.priority(), remainingMillis, entry.deliveredTokens, notAfterMonotonicMillis,
				entry.holds));
	}

	/**
	 * Ends an attempt that returned a complete answer.
	 * @param entry the request
	 * @param event the completion
	 * @param effects receives the effects
	 */
	void finish(RequestEntry entry, AttemptEvent.Finished event, Effects effects) {
		end(entry, report(entry, true, event.promptTokens(), event.cachedTokens(), event.outputTokens(), event.at()),
				event.at());
		endpoint(entry).ifPresent((endpoint) -> endpoint.circuitBreaker().succeeded());
		this.crashGuard.attemptEnded(entry.attemptId, false, event.at(), effects);
	}

	/**
	 * Ends an attempt that failed.
	 * @param entry the request
	 * @param event the failure
	 * @param effects receives the effects
	 */
	void fail(RequestEntry entry, AttemptEvent.Failed event, Effects effects) {
		end(entry, report(entry, false, 0, 0, entry.deliveredTokens, event.at()), event.at());
		endpoint(entry).ifPresent((endpoint) -> updateEndpointHealth(endpoint, event));
		boolean connectionLost = event.failure() == AttemptFailure.CONNECTION_LOST;
		this.crashGuard.attemptEnded(entry.attemptId, connectionLost, event.at(), effects);
		entry.mayHaveRun |= event.failure().mayHaveRun();
		effects.count(Part.REQUEST, "attempt.failed");
	}

	private static void updateEndpointHealth(EndpointState endpoint, AttemptEvent.Failed event) {
		switch (event.failure()) {
			case DRAINING -> {
				endpoint.markDraining();
				endpoint.circuitBreaker().inconclusive();
			}
			case TURNED_AWAY, REJECTED -> endpoint.circuitBreaker().inconclusive();
			default -> endpoint.circuitBreaker().failed(event.at().monotonicMillis());
		}
	}

	/**
	 * Cancels a running attempt.
	 * @param entry the request
	 * @param now the current time
	 * @param effects receives the cancellation
	 */
	void cancel(RequestEntry entry, Moment now, Effects effects) {
		entry.mayHaveRun = true;
		end(entry, report(entry, false, 0, 0, entry.deliveredTokens, now), now);
		endpoint(entry).ifPresent((endpoint) -> endpoint.circuitBreaker().inconclusive());
		this.crashGuard.attemptEnded(entry.attemptId, false, now, effects);
		effects.add(new AttemptEffect.Cancel(entry.attemptId, entry.endpoint));
	}

	/**
	 * Releases an assignment for which no attempt was started.
	 * @param entry the request
	 * @param now the current time
	 */
	void unassign(RequestEntry entry, Moment now) {
		this.scheduler.ended(report(entry, false, 0, 0, 0, now), now);
	}

	boolean isRunning(RequestEntry entry) {
		return entry.phase == RequestPhase.RUNNING && this.table.byAttemptOrNull(entry.attemptId) != null;
	}

	private void end(RequestEntry entry, AttemptReport report, Moment now) {
		this.table.attemptEnded(entry);
		endpoint(entry).ifPresent(EndpointState::attemptEnded);
		this.scheduler.ended(report, now);
	}

	private static AttemptReport report(RequestEntry entry, boolean complete, int promptTokens, int cachedTokens,
			int outputTokens, Moment now) {
		return new AttemptReport(entry.requestId(), entry.endpoint, complete, promptTokens, cachedTokens, outputTokens,
				entry.firstTokenMillis, now.monotonicMillis() - entry.dispatchedMonotonicMillis);
	}

	private Optional<EndpointState> endpoint(RequestEntry entry) {
		return this.fleet.endpoint(entry.endpoint);
	}

}
