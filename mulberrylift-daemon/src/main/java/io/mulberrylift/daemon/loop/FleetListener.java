package io.mulberrylift.daemon.loop;

import io.mulberrylift.core.fleet.FleetState;

/**
 * Receives changes of the configuration in force and of the instance list.
 */
@FunctionalInterface
public interface FleetListener {

	/**
	 * Called on the loop's thread after the change and before the effects of the same
	 * event are executed.
	 * @param fleet the new state, owned by the reducer; must not be retained
	 */
	void fleetChanged(FleetState fleet);

}
