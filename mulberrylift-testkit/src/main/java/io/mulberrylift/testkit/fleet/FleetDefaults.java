package io.mulberrylift.testkit.fleet;

import java.util.List;

/**
 * Settings and configuration of demonstration fleets.
 */
public final class FleetDefaults {

	/** KV cache memory of an engine stand-in, in tokens. */
	public static final long ENGINE_MEMORY_TOKENS = 400_000;

	/** Zones of the demonstration fleet. */
	public static final List<String> ZONES = List.of("regina-hall", "moosejaw-hall", "weyburn-hall");

	private FleetDefaults() {
	}

	/**
	 * Creates the settings of an instance that listens on free ports of the loopback
	 * address.
	 * @param id identity of the instance
	 * @param zone availability zone of the instance
	 * @param platformAddress host and port of the platform
	 * @return the settings as JSON
	 */
	public static String instanceSettings(String id, String zone, String platformAddress) {
		return """
				{
				  "instanceId": "%s",
				  "zone": "%s",
				  "callers": {"host": "127.0.0.1", "port": 0},
				  "operators": {"host": "127.0.0.1", "port": 0},
				  "peers": {"host": "127.0.0.1", "port": 0},
				  "platform": {"baseUrl": "http://%s"},
				  "faultSwitches": true
				}
				""".formatted(id, zone, platformAddress);
	}

	/**
	 * Returns the configuration document of demonstration fleets.
	 * @return the document as JSON
	 */
	public static String configuration() {
		return """
				{
				  "witnessZones": ["regina-hall", "moosejaw-hall", "weyburn-hall"],
				  "models": {"outlook": {"version": "1"}},
				  "services": {"council-notification": {"repeatablePaths": ["status/"]}},
				  "profiles": {
				    "ice-briefing": {"priority": 7, "defaultTimeoutMillis": 10000, "maxTimeoutMillis": 60000, "repeatable": true},
				    "regional-outlook": {"priority": 4, "defaultTimeoutMillis": 120000, "maxTimeoutMillis": 600000, "repeatable": true},
				    "alert": {"priority": 9, "defaultTimeoutMillis": 5000, "maxTimeoutMillis": 30000, "repeatable": false, "keyRequired": true}
				  },
				  "workspaces": {"highways": {"weight": 3}, "rm-sherwood": {}},
				  "promise": {"windowMillis": 900000, "clockSkewMillis": 200, "listFreshnessMillis": 5000}
				}
				""";
	}

}
