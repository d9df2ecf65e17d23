package io.mulberrylift.core.effect;

import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.core.model.HoldDescription;

/**
 * Effects towards endpoints outside of single tries.
 */
public sealed interface EndpointEffect extends Effect {

	/**
	 * Returns the endpoint.
	 * @return the endpoint
	 */
	EndpointId endpoint();

	/**
	 * Asks for the load report and the cache events since the last ones.
	 *
	 * @param endpoint the endpoint
	 */
	record ReadLoad(EndpointId endpoint) implements EndpointEffect {
	}

	/**
	 * Reserves memory.
	 *
	 * @param endpoint the engine
	 * @param hold the hold, with its owner and the time after which the engine may drop
	 * it
	 */
	record AcquireHold(EndpointId endpoint, HoldDescription hold) implements EndpointEffect {
	}

	/**
	 * Gives reserved memory back. Repeating it does no harm.
	 *
	 * @param endpoint the engine
	 * @param hold the hold
	 */
	record ReleaseHold(EndpointId endpoint, HoldDescription hold) implements EndpointEffect {
	}

	/**
	 * Asks for the list of all holds.
	 *
	 * @param endpoint the engine
	 */
	record ListHolds(EndpointId endpoint) implements EndpointEffect {
	}

	/**
	 * Gives an order.
	 *
	 * @param endpoint the engine
	 * @param order the order
	 */
	record SendOrder(EndpointId endpoint, EngineOrder order) implements EndpointEffect {
	}

}
