package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * What one instance is told at its start.
 *
 * <p>
 * Immutable. Values are checked by {@link InstanceSettingsReader}, not here, so that
 * every problem can be reported at once.
 * </p>
 *
 * @param instanceId identity of the instance
 * @param zone its availability zone
 * @param callers where callers are served
 * @param operators where operators are served
 * @param peers where other instances are served
 * @param platform where the platform is found
 * @param limits limits on what callers may send
 * @param log how log lines are written
 * @param faultSwitches whether operators may cut connections to other instances, for
 * tests of failures
 */
public record InstanceSettings(@JsonProperty(required = true) InstanceId instanceId,
		@JsonProperty(required = true) ZoneId zone, @JsonProperty(required = true) CallerListenSettings callers,
		@JsonProperty(required = true) ListenSettings operators,
		@JsonProperty(required = true) PeerListenSettings peers,
		@JsonProperty(required = true) PlatformSettings platform, LimitSettings limits, LogSettings log,
		boolean faultSwitches) {

	/**
	 * Creates the settings. Absent limits and log settings take their defaults.
	 */
	public InstanceSettings {
		limits = (limits != null) ? limits : LimitSettings.DEFAULTS;
		log = (log != null) ? log : LogSettings.DEFAULTS;
	}

}
