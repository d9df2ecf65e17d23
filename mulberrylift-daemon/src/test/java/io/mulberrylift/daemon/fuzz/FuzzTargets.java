package io.mulberrylift.daemon.fuzz;

import java.util.LinkedHashMap;
import java.util.Map;

import io.mulberrylift.daemon.caller.CallerFuzz;
import io.mulberrylift.daemon.endpoint.EndpointFuzz;
import io.mulberrylift.daemon.peer.PeerFuzz;
import io.mulberrylift.daemon.settings.SettingsFuzz;

/**
 * Registry of the fuzz targets.
 */
final class FuzzTargets {

	private FuzzTargets() {
	}

	/**
	 * Returns all targets.
	 * @return targets by name, in a fixed order
	 */
	static Map<String, FuzzTarget> all() {
		Map<String, FuzzTarget> targets = new LinkedHashMap<>();
		targets.put("caller-request", CallerFuzz::tryRequest);
		targets.put("engine-answer", EndpointFuzz::tryAnswer);
		targets.put("engine-load", EndpointFuzz::tryLoad);
		targets.put("peer-frame", PeerFuzz::tryFrames);
		targets.put("peer-message", PeerFuzz::tryMessage);
		targets.put("instance-settings", SettingsFuzz::tryInstanceSettings);
		targets.put("published-configuration", SettingsFuzz::tryConfiguration);
		return targets;
	}

}
