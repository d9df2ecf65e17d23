package io.mulberrylift.testkit.engine;

import java.util.Objects;
import java.util.Set;

/**
 * How a stand-in engine is run.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param id endpoint id by which holds and histories name the engine
 * @param zone availability zone, sent as {@code From-Zone} to other engines
 * @param port the port, 0 for a free one
 * @param models models in memory at the start
 * @param settings speed and size
 * @param timeScale how many times faster than real time the model runs
 * @param checksFencing whether orders with an old fencing number are refused
 * @param reportLagMillis greatest age of a load report in milliseconds
 * @param cacheLagMillis age at which cache events are reported, in milliseconds
 * @param maxQueued number of waiting requests above which new ones are answered 429
 */
public record EngineOptions(String id, String zone, int port, Set<String> models, EngineSettings settings,
		double timeScale, boolean checksFencing, long reportLagMillis, long cacheLagMillis, int maxQueued) {

	private static final int MAX_QUEUED = 256;

	/**
	 * Creates the options.
	 * @throws NullPointerException if a reference is null
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public EngineOptions {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(zone, "zone");
		models = Set.copyOf(models);
		Objects.requireNonNull(settings, "settings");
		if (!(timeScale > 0)) {
			throw new IllegalArgumentException("timeScale must be positive; 1 is real time");
		}
		if (reportLagMillis < 0 || cacheLagMillis < 0 || maxQueued < 0) {
			throw new IllegalArgumentException("The lags and the queue length must not be negative");
		}
	}

	/**
	 * Returns options for tests: zone-1, a free port, real time, no lag, fencing checked.
	 * @param id endpoint id
	 * @param models models in memory at the start
	 * @return the options
	 */
	public static EngineOptions of(String id, String... models) {
		return new EngineOptions(id, "zone-1", 0, Set.of(models), EngineSettings.midSize(), 1, true, 0, 0, MAX_QUEUED);
	}

	/**
	 * Returns these options with another speed.
	 * @param scale how many times faster than real time the model runs
	 * @return the changed options
	 */
	public EngineOptions withTimeScale(double scale) {
		return new EngineOptions(this.id, this.zone, this.port, this.models, this.settings, scale, this.checksFencing,
				this.reportLagMillis, this.cacheLagMillis, this.maxQueued);
	}

	/**
	 * Returns these options with other model settings.
	 * @param engineSettings speed and size
	 * @return the changed options
	 */
	public EngineOptions withSettings(EngineSettings engineSettings) {
		return new EngineOptions(this.id, this.zone, this.port, this.models, engineSettings, this.timeScale,
				this.checksFencing, this.reportLagMillis, this.cacheLagMillis, this.maxQueued);
	}

	/**
	 * Returns these options with another check of orders.
	 * @param checks whether orders with an old fencing number are refused
	 * @return the changed options
	 */
	public EngineOptions withChecksFencing(boolean checks) {
		return new EngineOptions(this.id, this.zone, this.port, this.models, this.settings, this.timeScale, checks,
				this.reportLagMillis, this.cacheLagMillis, this.maxQueued);
	}

	/**
	 * Returns these options with other delays of what is reported.
	 * @param reportMillis greatest age of a load report in milliseconds
	 * @param cacheMillis age at which cache events are reported, in milliseconds
	 * @return the changed options
	 */
	public EngineOptions withLag(long reportMillis, long cacheMillis) {
		return new EngineOptions(this.id, this.zone, this.port, this.models, this.settings, this.timeScale,
				this.checksFencing, reportMillis, cacheMillis, this.maxQueued);
	}

	/**
	 * Returns these options with another port.
	 * @param listenPort the port, 0 for a free one
	 * @return the changed options
	 */
	public EngineOptions withPort(int listenPort) {
		return new EngineOptions(this.id, this.zone, listenPort, this.models, this.settings, this.timeScale,
				this.checksFencing, this.reportLagMillis, this.cacheLagMillis, this.maxQueued);
	}

}
