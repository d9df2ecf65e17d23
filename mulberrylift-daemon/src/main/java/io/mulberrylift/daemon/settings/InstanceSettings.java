package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * Settings that an instance reads when it starts.
 *
 * <p>
 * Immutable. Values are validated by {@link InstanceSettingsReader}, not here, so that
 * all problems are reported together.
 * </p>
 *
 * @param instanceId identity of the instance
 * @param zone its availability zone
 * @param callers port for callers
 * @param operators port for operators
 * @param peers port for other instances
 * @param platform address of the platform
 * @param limits limits on callers' requests and connections
 * @param log format and level of the log
 * @param faultSwitches whether operators may cut connections to other instances, for
 * failure tests
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
