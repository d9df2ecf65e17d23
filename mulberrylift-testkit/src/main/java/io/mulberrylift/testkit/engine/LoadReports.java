package io.mulberrylift.testkit.engine;

/**
 * Creates load reports and reuses each one up to its maximum age. Cache events are read
 * for each report, with their own lag. Thread-safe.
 */
final class LoadReports {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final EngineOptions options;

	private final EngineRunner runner;

	private final EngineFaults faults;

	private final OrderExecutor orders;

	private final long incarnation = System.currentTimeMillis();

	private EngineMessages.LoadBody last;

	private long lastNanos;

	LoadReports(EngineOptions options, EngineRunner runner, EngineFaults faults, OrderExecutor orders) {
		this.options = options;
		this.runner = runner;
		this.faults = faults;
		this.orders = orders;
	}

	long incarnation() {
		return this.incarnation;
	}

	synchronized EngineMessages.LoadBody read(long cacheAfter) {
		long nowNanos = System.nanoTime();
		long ageMillis = (nowNanos - this.lastNanos) / NANOS_PER_MILLI;
		if (this.last == null || ageMillis >= this.options.reportLagMillis()) {
			this.last = snapshot();
			this.lastNanos = nowNanos;
			ageMillis = 0;
		}
		long lagMicros = this.runner.clock().toModelMicros(this.options.cacheLagMillis());
		CacheReport report = this.runner.apply((model) -> model.cacheReport(cacheAfter, lagMicros));
		return this.last.withAgeAndCache(ageMillis, new EngineMessages.CacheBody(report.sequence(), report.complete(),
				EngineMessages.formatBlocks(report.added()), EngineMessages.formatBlocks(report.evicted())));
	}

	private EngineMessages.LoadBody snapshot() {
		EngineLoad load = this.runner.apply(EngineModel::load);
		EngineMessages.OrderState state = this.orders.state();
		return new EngineMessages.LoadBody(this.incarnation, load.runningRequests(), load.queuedRequests(),
				load.queuedPromptTokens(), load.usedMemoryTokens(), this.faults.draining(), state.models(),
				state.role(), 0, null);
	}

}
