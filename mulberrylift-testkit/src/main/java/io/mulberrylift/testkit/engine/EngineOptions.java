package io.mulberrylift.testkit.engine;

import java.util.Objects;
import java.util.Set;

/**
 * Options of a stand-in engine.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param id endpoint id of the engine in holds and histories
 * @param zone availability zone, sent as {@code From-Zone} to other engines
 * @param port the port, 0 to choose a free port
 * @param models models that are loaded at startup
 * @param settings performance and capacity of the engine
 * @param timeScale speed of the model relative to real time
 * @param checksFencing whether orders with an outdated fencing number are refused
 * @param reportLagMillis maximum age of a load report in milliseconds
 * @param cacheLagMillis minimum age of reported cache events in milliseconds
 * @param maxQueued number of waiting requests at which new ones are refused with status
 * 429
 */
public record EngineOptions(String id, String zone, int port, Set<String> models, EngineSettings settings,
		double timeScale, boolean checksFencing, long reportLagMillis, long cacheLagMillis, int maxQueued) {

	private static final int MAX_QUEUED = 256;

	/**
	 * Creates the options.
	 * @throws NullPointerException if an object argument is null
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public EngineOptions {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(zone, "zone");
		models = Set.copyOf(models);
		Objects.requireNonNull(settings, "settings");
		if (!(timeScale > 0)) {
			throw new IllegalArgumentException("timeScale must be positive; 1 means real time");
		}
		if (reportLagMillis < 0 || cacheLagMillis < 0 || maxQueued < 0) {
			throw new IllegalArgumentException("reportLagMillis, cacheLagMillis and maxQueued must not be negative");
		}
	}

	/**
	 * Returns options for tests: zone-1, a free port, real time, no lags, fencing numbers
	 * checked.
	 * @param id the endpoint id
	 * @param models models that are loaded at startup
	 * @return the options
	 */
	public static EngineOptions of(String id, String... models) {
		return new EngineOptions(id, "zone-1", 0, Set.of(models), EngineSettings.midSize(), 1, true, 0, 0, MAX_QUEUED);
	}

	/**
	 * Returns a copy of these options with another time scale.
	 * @param scale speed of the model relative to real time
	 * @return the modified copy
	 */
	public EngineOptions withTimeScale(double scale) {
		return new EngineOptions(this.id, this.zone, this.port, this.models, this.settings, scale, this.checksFencing,
				this.reportLagMillis, this.cacheLagMillis, this.maxQueued);
	}

	/**
	 * Returns a copy of these options with other engine settings.
	 * @param engineSettings performance and capacity of the engine
	 * @return the modified copy
	 */
	public EngineOptions withSettings(EngineSettings engineSettings) {
		return new EngineOptions(this.id, this.zone, this.port, this.models, engineSettings, this.timeScale,
				this.checksFencing, this.reportLagMillis, this.cacheLagMillis, this.maxQueued);
	}

	/**
	 * Returns a copy of these options with fencing checks enabled or disabled.
	 * @param checks whether orders with an outdated fencing number are refused
	 * @return the modified copy
	 */
	public EngineOptions withChecksFencing(boolean checks) {
		return new EngineOptions(this.id, this.zone, this.port, this.models, this.settings, this.timeScale, checks,
				this.reportLagMillis, this.cacheLagMillis, this.maxQueued);
	}

	/**
	 * Returns a copy of these options with other report lags.
	 * @param reportMillis maximum age of a load report in milliseconds
	 * @param cacheMillis minimum age of reported cache events in milliseconds
	 * @return the modified copy
	 */
	public EngineOptions withLag(long reportMillis, long cacheMillis) {
		return new EngineOptions(this.id, this.zone, this.port, this.models, this.settings, this.timeScale,
				this.checksFencing, reportMillis, cacheMillis, this.maxQueued);
	}

	/**
	 * Returns a copy of these options with another port.
	 * @param listenPort the port, 0 to choose a free port
	 * @return the modified copy
	 */
	public EngineOptions withPort(int listenPort) {
		return new EngineOptions(this.id, this.zone, listenPort, this.models, this.settings, this.timeScale,
				this.checksFencing, this.reportLagMillis, this.cacheLagMillis, this.maxQueued);
	}

}
