package io.mulberrylift.core.scheduling;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.time.Moment;

/**
 * Decides which requests are admitted, in which order they run and on which endpoints.
 *
 * <p>
 * Implementations are owned by the reducer and not thread-safe. An admitted request stays
 * queued until it is assigned or removed.
 * </p>
 */
public interface Scheduler {

	/**
	 * Admits a request to the queue or refuses it.
	 * @param request the request
	 * @param now the current time
	 * @return the refusal, empty if the request was admitted and queued
	 */
	Optional<Refusal> admit(PendingRequest request, Moment now);

	/**
	 * Queues an admitted request again, after a failed attempt or an assignment that led
	 * to none.
	 * @param request the request
	 * @param now the current time
	 */
	void requeue(PendingRequest request, Moment now);

	/**
	 * Removes the requests that are to run now from the queue. Each counts as running on
	 * its endpoint until {@link #ended(AttemptReport, Moment)}.
	 * @param now the current time
	 * @return the assignments in the order of dispatch
	 */
	List<Assignment> assign(Moment now);

	/**
	 * Removes the requests that can no longer meet their deadlines from the queue, so
	 * that their callers are notified immediately. An endpoint may have received a
	 * request that was queued again.
	 * @param now the current time
	 * @return the requests with their refusals, empty if the policy does not predict
	 * completion times
	 */
	List<InfeasibleRequest> removeInfeasible(Moment now);

	/**
	 * Removes a request from the queue. Does nothing if it is not queued.
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
	 * Records that a running request ended on its endpoint, successfully or not.
	 * @param report the result of the attempt
	 * @param now the current time
	 */
	void ended(AttemptReport report, Moment now);

	/**
	 * Records a load report of an endpoint.
	 * @param event the report
	 */
	void loadReported(EndpointEvent.LoadReported event);

	/**
	 * Records changes to an endpoint's prefix cache.
	 * @param event the changes
	 */
	void cacheChanged(EndpointEvent.CacheChanged event);

	/**
	 * Returns the number of queued requests.
	 * @return the length of the queue
	 */
	int queuedRequests();

	/**
	 * Returns when {@link #assign(Moment)} is due next if no other event occurs.
	 * @return the monotonic time in milliseconds, {@link Long#MAX_VALUE} for never
	 */
	long nextWakeMonotonicMillis();

	/**
	 * Returns the state shown to operators.
	 * @return a tree of records, maps, lists and plain values
	 */
	Object describe();

}
