package io.mulberrylift.core.effect;

import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.core.model.HoldDescription;

/**
 * Requests to endpoints that do not belong to a single attempt.
 */
public sealed interface EndpointEffect extends Effect {

	/**
	 * Returns the endpoint to which the effect is addressed.
	 * @return the endpoint
	 */
	EndpointId endpoint();

	/**
	 * Reads the load report and the changes of the prefix cache since the last read.
	 *
	 * @param endpoint the endpoint
	 */
	record ReadLoad(EndpointId endpoint) implements EndpointEffect {
	}

	/**
	 * Acquires a hold on memory of an engine.
	 *
	 * @param endpoint the engine
	 * @param hold the hold, with its owner and the time after which it expires
	 */
	record AcquireHold(EndpointId endpoint, HoldDescription hold) implements EndpointEffect {
	}

	/**
	 * Releases a hold. The operation is idempotent.
	 *
	 * @param endpoint the engine
	 * @param hold the hold
	 */
	record ReleaseHold(EndpointId endpoint, HoldDescription hold) implements EndpointEffect {
	}

	/**
	 * Reads all holds of an engine.
	 *
	 * @param endpoint the engine
	 */
	record ListHolds(EndpointId endpoint) implements EndpointEffect {
	}

	/**
	 * Sends a control order to an engine.
	 *
	 * @param endpoint the engine
	 * @param order the order
	 */
	record SendOrder(EndpointId endpoint, EngineOrder order) implements EndpointEffect {
	}

}
