package io.mulberrylift.core.event;

import java.util.List;

import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.time.Moment;

/**
 * Events of endpoints that do not belong to a single attempt.
 */
public sealed interface EndpointEvent extends Event {

	/**
	 * Returns the endpoint from which the event originates.
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
	 * The endpoint's load report could not be read.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param connectionRefused whether the connection was refused, which means that no
	 * process listens at the address
	 */
	record Unreachable(Moment at, EndpointId endpoint, boolean connectionRefused) implements EndpointEvent {
	}

	/**
	 * The endpoint reported changes of its prefix cache.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param complete whether the changes follow the previous ones without a gap; if
	 * false, everything recorded about the cache is discarded
	 * @param addedBlocks hashes of the blocks added to the cache
	 * @param evictedBlocks hashes of the blocks evicted from the cache
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
	 * A request to acquire or release a hold got no answer.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param holdId the hold, which may or may not exist at the endpoint
	 */
	record HoldUnanswered(Moment at, EndpointId endpoint, long holdId) implements EndpointEvent {
	}

	/**
	 * The endpoint confirmed that a hold no longer exists.
	 *
	 * @param at when it was observed
	 * @param endpoint the endpoint
	 * @param hold the released hold
	 */
	record HoldReleased(Moment at, EndpointId endpoint, HoldDescription hold) implements EndpointEvent {
	}

	/**
	 * The endpoint reported all its holds.
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
	 * @param executed whether the endpoint executed the order
	 * @param highestFencingNumber highest fencing number that the endpoint has seen, 0 if
	 * it does not check fencing
	 */
	record OrderAnswered(Moment at, EndpointId endpoint, EngineOrder order, boolean executed,
			long highestFencingNumber) implements EndpointEvent {
	}

}
