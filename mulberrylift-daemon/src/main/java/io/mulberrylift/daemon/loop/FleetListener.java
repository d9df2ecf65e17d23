package io.mulberrylift.daemon.loop;

import io.mulberrylift.core.fleet.FleetState;

/**
 * Learns that the configuration in force or the instance list changed.
 */
@FunctionalInterface
public interface FleetListener {

	/**
	 * Called on the loop's thread after the change and before the effects of the same
	 * event are carried out.
	 * @param fleet the state; must not be kept
	 */
	void fleetChanged(FleetState fleet);

}
