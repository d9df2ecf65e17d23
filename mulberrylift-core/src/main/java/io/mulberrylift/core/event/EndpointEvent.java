package io.mulberrylift.core.event;

import java.util.List;

import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.time.Moment;

/**
 * Events of endpoints outside of single tries.
 */
public sealed interface EndpointEvent extends Event {

	/**
	 * Returns the endpoint that the event is about.
	 * @return the endpoint
	 */
	EndpointId endpoint();

	/**
	 * The endpoint reported its load.
	 *
	 * @param at when it was observed
	 * @param report the report
	 */
	record LoadReported(Moment at, LoadReport report) implements EndpointEvent {

		@Override
		public EndpointId endpoint() {
			return this.report.endpoint();
		}

	}

	/**
	 * The endpoint could not be reached for its load report.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param connectionRefused whether its machine refused the connection, so that no
	 * process listens there
	 */
	record Unreachable(Moment at, EndpointId endpoint, boolean connectionRefused) implements EndpointEvent {
	}

	/**
	 * The endpoint published changes of its prefix cache.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param complete whether no event is missing before these; false voids all that was
	 * known of the cache
	 * @param addedBlocks hashes of cached blocks
	 * @param evictedBlocks hashes of evicted blocks
	 */
	record CacheChanged(Moment at, EndpointId endpoint, boolean complete, List<Long> addedBlocks,
			List<Long> evictedBlocks) implements EndpointEvent {
	}

	/**
	 * The endpoint granted or refused a hold.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param holdId the hold
	 * @param granted whether the memory is reserved
	 */
	record HoldAnswered(Moment at, EndpointId endpoint, long holdId, boolean granted) implements EndpointEvent {
	}

	/**
	 * A hold request or release got no answer.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param holdId the hold, which may or may not exist
	 */
	record HoldUnanswered(Moment at, EndpointId endpoint, long holdId) implements EndpointEvent {
	}

	/**
	 * The endpoint confirmed that a hold does not exist any more.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param hold the released hold
	 */
	record HoldReleased(Moment at, EndpointId endpoint, HoldDescription hold) implements EndpointEvent {
	}

	/**
	 * The endpoint listed all its holds.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param holds the holds
	 */
	record HoldsListed(Moment at, EndpointId endpoint, List<HoldDescription> holds) implements EndpointEvent {

		/**
		 * Creates the event.
		 */
		public HoldsListed {
			holds = List.copyOf(holds);
		}

	}

	/**
	 * The endpoint answered an order.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param order the order
	 * @param executed whether it was carried out
	 * @param highestFencingNumber highest fencing number that the endpoint knows, 0 when
	 * it does not check
	 */
	record OrderAnswered(Moment at, EndpointId endpoint, EngineOrder order, boolean executed,
			long highestFencingNumber) implements EndpointEvent {
	}

}
