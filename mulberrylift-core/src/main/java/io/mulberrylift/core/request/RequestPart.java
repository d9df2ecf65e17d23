package io.mulberrylift.core.request;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.isolation.CrashClassification;
import io.mulberrylift.core.isolation.CrashGuard;
import io.mulberrylift.core.memory.ReservationOutcome;
import io.mulberrylift.core.memory.Reservations;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.scheduling.Assignment;
import io.mulberrylift.core.scheduling.InfeasibleRequest;
import io.mulberrylift.core.scheduling.Scheduler;
import io.mulberrylift.core.time.Moment;
import io.mulberrylift.core.witness.ClaimOutcome;
import io.mulberrylift.core.witness.Claims;

/**
 * Takes each request from its arrival to its one final answer.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. Invariants: every request in
 * the table has a timer; a request runs in at most one attempt at a time; a request that
 * must not run twice gets no second attempt once an attempt may have run; "not run" is
 * said only when no attempt may have run and no earlier send of the key can have.
 * </p>
 */
public final class RequestPart {

	/** Time before the deadline at which a request is ended, in milliseconds. */
	public static final long DEADLINE_MARGIN_MILLIS = 20;

	private static final long MARGIN_DIVISOR = 10;

	private static final long CRASH_GUARD_DELAY_MILLIS = 200;

	private final FleetState fleet;

	private final Scheduler scheduler;

	private final Claims claims;

	private final Reservations reservations;

	private final CrashGuard crashGuard;

	private final RetryPolicy retryPolicy;

	private final RequestTable table = new RequestTable();

	private final AttemptLifecycle attempts;

	private boolean shuttingDown;

	/**
	 * Creates the part.
	 * @param fleet the shared state
	 * @param scheduler decides admission, order and place
	 * @param claims claims keys
	 * @param reservations reserves memory
	 * @param crashGuard isolates requests that crash endpoints
	 * @param retryPolicy decides on further attempts
	 */
	public RequestPart(FleetState fleet, Scheduler scheduler, Claims claims, Reservations reservations,
			CrashGuard crashGuard, RetryPolicy retryPolicy) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
		this.claims = Objects.requireNonNull(claims, "claims");
		this.reservations = Objects.requireNonNull(reservations, "reservations");
		this.crashGuard = Objects.requireNonNull(crashGuard, "crashGuard");
		this.retryPolicy = Objects.requireNonNull(retryPolicy, "retryPolicy");
		this.attempts = new AttemptLifecycle(fleet, scheduler, crashGuard, this.table);
	}

	/**
	 * Takes a new request.
	 * @param event the arrival
	 * @param effects takes the effects
	 */
	public void arrived(RequestEvent.Arrived event, Effects effects) {
		RequestSpec spec = event.spec();
		Optional<FleetConfiguration> configuration = this.fleet.configuration();
		if (configuration.isEmpty()) {
			refuseOnArrival(spec, RefusalReason.NOT_READY, "No configuration has been read yet", effects);
			return;
		}
		ProfileSettings profile = configuration.get().profiles().get(spec.profile());
		if (profile == null) {
			refuseOnArrival(spec, RefusalReason.UNKNOWN_PROFILE, "Profile " + spec.profile(), effects);
			return;
		}
		double weight = weight(configuration.get(), spec);
		RequestEntry entry = new RequestEntry(spec, profile, weight, event.at().monotonicMillis());
		this.table.add(entry, entry.deadlineMonotonicMillis - marginMillis(spec));
		effects.count(Part.REQUEST, "arrived");
		if (this.shuttingDown) {
			end(entry, RequestRefusals.inProgress(entry, RefusalReason.SHUTTING_DOWN, ""), event.at(), effects);
			return;
		}
		begin(entry, event.at(), effects);
	}

	private void begin(RequestEntry entry, Moment now, Effects effects) {
		if (entry.needsClaim()) {
			entry.phase = RequestPhase.CLAIMING;
			this.claims.claim(entry.spec, entry.deadlineMonotonicMillis - marginMillis(entry.spec), now, effects);
			return;
		}
		admit(entry, now, effects);
	}

	private void admit(RequestEntry entry, Moment now, Effects effects) {
		CrashClassification verdict = this.crashGuard.classify(entry.spec.fingerprint());
		if (verdict == CrashClassification.CONVICTED) {
			end(entry, RequestRefusals.quarantined(entry), now, effects);
			return;
		}
		entry.suspected = verdict == CrashClassification.SUSPECTED;
		Optional<Refusal> refusal = this.scheduler.admit(entry.pending(now.monotonicMillis()), now);
		if (refusal.isPresent()) {
			end(entry, RequestRefusals.withOutcome(refusal.get(), entry), now, effects);
			return;
		}
		entry.phase = RequestPhase.QUEUED;
		effects.count(Part.REQUEST, "admitted");
	}

	/**
	 * Takes the news that a caller closed its connection. A request that must not run
	 * twice goes on, so that a later send with its key gets the answer.
	 * @param event the news
	 * @param effects takes the effects
	 */
	public void callerDisconnected(RequestEvent.CallerDisconnected event, Effects effects) {
		this.table.find(event.requestId()).ifPresent((entry) -> {
			entry.callerDisconnected = true;
			effects.count(Part.REQUEST, "caller.gone");
			boolean mayHaveRun = entry.mayHaveRun || entry.phase == RequestPhase.RUNNING;
			if (!(entry.claimed && mayHaveRun)) {
				end(entry, RequestRefusals.inProgress(entry, RefusalReason.CALLER_GONE, ""), event.at(), effects);
			}
		});
	}

	/**
	 * Takes the first token of an attempt.
	 * @param event the first token
	 * @param effects takes the count of first tokens later than the profile wants
	 */
	public void started(AttemptEvent.Started event, Effects effects) {
		this.table.findByAttempt(event.attemptId()).ifPresent((entry) -> {
			entry.firstTokenMillis = event.at().monotonicMillis() - entry.dispatchedMonotonicMillis;
			this.scheduler.firstTokenReceived(entry.requestId(), event.at());
			long targetMillis = entry.profile.firstTokenTargetMillis();
			long waitedMillis = event.at().monotonicMillis() - entry.arrivedMonotonicMillis;
			if (targetMillis > 0 && waitedMillis > targetMillis && entry.deliveredTokens == 0) {
				effects.count(Part.REQUEST, "first-token.over-target." + entry.spec.profile());
			}
		});
	}

	/**
	 * Takes the position of a stream. Allocates nothing.
	 * @param attemptId the attempt
	 * @param acceptedTokens output tokens that the caller's sink has accepted
	 */
	public void advanced(long attemptId, int acceptedTokens) {
		RequestEntry entry = this.table.byAttemptOrNull(attemptId);
		if (entry != null && acceptedTokens > entry.deliveredTokens) {
			entry.deliveredTokens = acceptedTokens;
		}
	}

	/**
	 * Takes a whole answer.
	 * @param event the end of the attempt
	 * @param effects takes the effects
	 */
	public void finished(AttemptEvent.Finished event, Effects effects) {
		this.table.findByAttempt(event.attemptId()).ifPresent((entry) -> {
			this.attempts.finish(entry, event, effects);
			if (entry.claimed) {
				this.claims.complete(entry.requestId(), event.answer(), event.at(), effects);
			}
			removeAndFreeMemory(entry, event.at(), effects);
			effects.count(Part.REQUEST, "completed");
			effects.add(new RequestEffect.Complete(entry.requestId()));
		});
	}

	/**
	 * Takes a failed attempt and tries again where that is allowed and useful.
	 * @param event the failure
	 * @param effects takes the effects
	 */
	public void failed(AttemptEvent.Failed event, Effects effects) {
		this.table.findByAttempt(event.attemptId()).ifPresent((entry) -> {
			advanced(event.attemptId(), event.deliveredTokens());
			this.attempts.fail(entry, event, effects);
			this.reservations.free(entry.requestId(), event.at(), effects);
			retryOrEnd(entry, event, effects);
		});
	}

	private void retryOrEnd(RequestEntry entry, AttemptEvent.Failed event, Effects effects) {
		Moment now = event.at();
		if (this.crashGuard.classify(entry.spec.fingerprint()) == CrashClassification.CONVICTED) {
			end(entry, RequestRefusals.quarantined(entry), now, effects);
			return;
		}
		Optional<Long> delayMillis = this.retryPolicy.delayBeforeRetry(entry, event,
				this.fleet.configuration().orElseThrow().retry());
		if (delayMillis.isEmpty()) {
			end(entry, RequestRefusals.afterFailure(entry, event), now, effects);
			return;
		}
		effects.count(Part.REQUEST, "retried");
		entry.excluded.add(entry.endpoint);
		entry.suspected = this.crashGuard.classify(entry.spec.fingerprint()) == CrashClassification.SUSPECTED;
		entry.phase = RequestPhase.QUEUED;
		this.scheduler.requeue(entry.pending(now.monotonicMillis() + delayMillis.get()), now);
	}

	/**
	 * Ends requests whose time is over.
	 * @param now the current time
	 * @param effects takes the effects
	 */
	public void expire(Moment now, Effects effects) {
		for (RequestEntry entry : this.table.takeExpired(now.monotonicMillis())) {
			effects.count(Part.REQUEST, "expired");
			end(entry, RequestRefusals.expired(entry), now, effects);
		}
	}

	/**
	 * Takes the outcome of a claim.
	 * @param outcome the outcome
	 * @param now the current time
	 * @param effects takes the effects
	 */
	public void claimed(ClaimOutcome outcome, Moment now, Effects effects) {
		RequestEntry entry = this.table.find(outcome.requestId()).orElse(null);
		if (entry == null || entry.phase != RequestPhase.CLAIMING) {
			return;
		}
		if (outcome instanceof ClaimOutcome.Granted) {
			entry.claimed = true;
			admit(entry, now, effects);
		}
		else if (outcome instanceof ClaimOutcome.Answered answered) {
			this.table.remove(entry);
			effects.count(Part.REQUEST, "replayed");
			effects.add(new RequestEffect.Replay(entry.requestId(), answered.answer()));
		}
		else if (outcome instanceof ClaimOutcome.Denied denied) {
			this.table.remove(entry);
			refuse(entry.requestId(), denied.refusal(), effects);
		}
	}

	/**
	 * Takes the outcome of a reservation.
	 * @param outcome the outcome
	 * @param now the current time
	 * @param effects takes the effects
	 */
	public void reserved(ReservationOutcome outcome, Moment now, Effects effects) {
		RequestEntry entry = this.table.find(outcome.requestId()).orElse(null);
		if (entry == null || entry.phase != RequestPhase.RESERVING) {
			this.reservations.free(outcome.requestId(), now, effects);
			return;
		}
		if (outcome instanceof ReservationOutcome.Reserved reserved) {
			entry.holds = reserved.holds();
			dispatch(entry, now, effects);
		}
		else {
			this.attempts.unassign(entry, now);
			entry.phase = RequestPhase.QUEUED;
			long notBefore = now.monotonicMillis()
					+ this.retryPolicy.reservationDelayMillis(this.fleet.configuration().orElseThrow().retry());
			this.scheduler.requeue(entry.pending(notBefore), now);
		}
	}

	/**
	 * Refuses the requests that can no longer end in time and runs those that the
	 * scheduler has assigned.
	 * @param now the current time
	 * @param effects takes the effects
	 */
	public void assign(Moment now, Effects effects) {
		for (InfeasibleRequest hopeless : this.scheduler.removeInfeasible(now)) {
			RequestEntry entry = this.table.find(hopeless.requestId()).orElseThrow();
			effects.count(Part.REQUEST, "hopeless");
			end(entry, RequestRefusals.withOutcome(hopeless.refusal(), entry), now, effects);
		}
		for (Assignment assignment : this.scheduler.assign(now)) {
			RequestEntry entry = this.table.find(assignment.requestId()).orElseThrow();
			entry.assignment = assignment;
			entry.endpoint = assignment.endpoint();
			entry.dispatchedMonotonicMillis = now.monotonicMillis();
			if (assignment.members().isEmpty()) {
				entry.holds = List.of();
				dispatch(entry, now, effects);
			}
			else {
				entry.phase = RequestPhase.RESERVING;
				this.reservations.reserve(assignment, entry.deadlineMonotonicMillis, now, effects);
			}
		}
	}

	private void dispatch(RequestEntry entry, Moment now, Effects effects) {
		if (entry.needsClaim() && !this.claims.mayDispatch(entry.requestId(), now)) {
			entry.phase = RequestPhase.RESERVING;
			end(entry, Refusal.of(entry.outcomeWithoutAttempt(), RefusalReason.KEY_OUT_OF_WINDOW,
					"The window of the key ended before an endpoint was free"), now, effects);
			return;
		}
		if (blockedByCrashGuard(entry, now, effects)) {
			return;
		}
		this.attempts.start(entry, now, effects);
		this.retryPolicy.attemptStarted(entry, this.fleet.configuration().orElseThrow().retry());
	}

	private boolean blockedByCrashGuard(RequestEntry entry, Moment now, Effects effects) {
		CrashClassification verdict = this.crashGuard.classify(entry.spec.fingerprint());
		if (verdict == CrashClassification.CONVICTED) {
			entry.phase = RequestPhase.RESERVING;
			end(entry, RequestRefusals.quarantined(entry), now, effects);
			return true;
		}
		boolean newlySuspected = verdict == CrashClassification.SUSPECTED && !entry.suspected;
		if (!newlySuspected && this.crashGuard.mayStart(entry.spec.fingerprint(), entry.endpoint, now)) {
			return false;
		}
		this.attempts.unassign(entry, now);
		this.reservations.free(entry.requestId(), now, effects);
		entry.suspected = verdict == CrashClassification.SUSPECTED;
		entry.phase = RequestPhase.QUEUED;
		this.scheduler.requeue(entry.pending(now.monotonicMillis() + CRASH_GUARD_DELAY_MILLIS), now);
		return true;
	}

	private void end(RequestEntry entry, Refusal refusal, Moment now, Effects effects) {
		if (this.attempts.isRunning(entry)) {
			this.attempts.cancel(entry, now, effects);
		}
		else if (entry.phase == RequestPhase.RESERVING) {
			this.attempts.unassign(entry, now);
		}
		this.scheduler.remove(entry.requestId());
		endClaim(entry, now, effects);
		removeAndFreeMemory(entry, now, effects);
		refuse(entry.requestId(), refusal, effects);
	}

	private void endClaim(RequestEntry entry, Moment now, Effects effects) {
		if (entry.claimed && entry.mayHaveRun) {
			this.claims.complete(entry.requestId(), Optional.empty(), now, effects);
		}
		else if (entry.needsClaim()) {
			this.claims.release(entry.requestId(), effects);
		}
	}

	private void removeAndFreeMemory(RequestEntry entry, Moment now, Effects effects) {
		this.table.remove(entry);
		this.reservations.free(entry.requestId(), now, effects);
	}

	private void refuse(long requestId, Refusal refusal, Effects effects) {
		effects.count(Part.REQUEST, "refused." + refusal.reason().label());
		effects.add(new RequestEffect.Refuse(requestId, refusal));
	}

	private void refuseOnArrival(RequestSpec spec, RefusalReason reason, String detail, Effects effects) {
		refuse(spec.requestId(), RequestRefusals.onArrival(spec, reason, detail), effects);
	}

	private static double weight(FleetConfiguration configuration, RequestSpec spec) {
		return Optional.ofNullable(configuration.workspaces().get(spec.workspace().value()))
			.map((workspace) -> workspace.weight())
			.orElse(1.0);
	}

	private static long marginMillis(RequestSpec spec) {
		return Math.min(DEADLINE_MARGIN_MILLIS, spec.timeoutMillis() / MARGIN_DIVISOR);
	}

	/**
	 * Refuses all further requests; those in progress go on.
	 */
	public void shutDown() {
		this.shuttingDown = true;
	}

	/**
	 * Returns how many requests are in progress.
	 * @return the number of requests without a final answer
	 */
	public int inProgress() {
		return this.table.size();
	}

	/**
	 * Returns when {@link #expire(Moment, Effects)} is due next.
	 * @return the monotonic time in milliseconds, {@link Long#MAX_VALUE} for never
	 */
	public long nextWakeMonotonicMillis() {
		return this.table.nextTimerMonotonicMillis();
	}

	/**
	 * Returns the state for an operator.
	 * @return numbers of requests by phase and the retry balance
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		for (RequestPhase phase : RequestPhase.values()) {
			long count = this.table.entries().stream().filter((entry) -> entry.phase == phase).count();
			state.put(phase.name().toLowerCase(java.util.Locale.ROOT), count);
		}
		state.put("shuttingDown", this.shuttingDown);
		state.put("retryBalance", this.retryPolicy.balance());
		return state;
	}

}
