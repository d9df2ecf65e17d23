package io.mulberrylift.core.scheduling;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.time.Moment;

/**
 * Decides which requests are admitted, in which order they run and where.
 *
 * <p>
 * Implementations are owned by the reducer and not safe for use by several threads. An
 * admitted request stays queued until it is assigned or removed.
 * </p>
 */
public interface Scheduler {

	/**
	 * Admits a request to the queue or refuses it.
	 * @param request the request
	 * @param now the current time
	 * @return the refusal, empty when the request was admitted and queued
	 */
	Optional<Refusal> admit(PendingRequest request, Moment now);

	/**
	 * Queues an admitted request again after a failed try.
	 * @param request the request
	 * @param now the current time
	 */
	void requeue(PendingRequest request, Moment now);

	/**
	 * Takes the requests out of the queue that are to run now. Each counts as running on
	 * its endpoint until {@link #ended(AttemptReport, Moment)}.
	 * @param now the current time
	 * @return the assignments in order
	 */
	List<Assignment> assign(Moment now);

	/**
	 * Takes the requests out of the queue that can no longer end by their deadlines, so
	 * that their callers learn it at once. An endpoint may have received a request that
	 * was queued again.
	 * @param now the current time
	 * @return the requests with their refusals, empty under a policy that predicts no end
	 */
	List<InfeasibleRequest> removeInfeasible(Moment now);

	/**
	 * Drops a queued request. Does nothing when it is not queued.
	 * @param requestId the request
	 */
	void remove(long requestId);

	/**
	 * Records the first token of a running request.
	 * @param requestId the request
	 * @param now the current time
	 */
	void firstTokenReceived(long requestId, Moment now);

	/**
	 * Records that a running request ended on its endpoint, whole or not.
	 * @param report how it went
	 * @param now the current time
	 */
	void ended(AttemptReport report, Moment now);

	/**
	 * Takes a load report.
	 * @param event the report
	 */
	void loadReported(EndpointEvent.LoadReported event);

	/**
	 * Takes changes of an endpoint's prefix cache.
	 * @param event the changes
	 */
	void cacheChanged(EndpointEvent.CacheChanged event);

	/**
	 * Returns how many requests wait.
	 * @return the length of the queue
	 */
	int queuedRequests();

	/**
	 * Returns when {@link #assign(Moment)} should be called next without other events.
	 * @return the monotonic time in milliseconds, {@link Long#MAX_VALUE} for never
	 */
	long nextWakeMonotonicMillis();

	/**
	 * Returns the state for an operator.
	 * @return a tree of records, maps, lists and plain values
	 */
	Object describe();

}
