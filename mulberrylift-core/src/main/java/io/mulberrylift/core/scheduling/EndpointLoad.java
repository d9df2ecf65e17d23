package io.mulberrylift.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.EndpointState;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.model.RequestSpec;

/**
 * Estimate of the load of one endpoint: the work of this instance is known exactly; the
 * work of all instances is taken from the last load report and reduced by what the
 * endpoint has processed since at its estimated speed.
 *
 * <p>
 * Not thread-safe; owned by the scheduler.
 * </p>
 */
final class EndpointLoad {

	private final EndpointState state;

	private final FleetLoad fleet;

	private final Map<Long, RunningWork> running = new LinkedHashMap<>();

	private final PrefixIndex prefixIndex = new PrefixIndex();

	private final SpeedEstimate speed = new SpeedEstimate();

	private long reportedMonotonicMillis;

	private long reportedPrefillTokens;

	private int reportedRequests;

	private int reportedRunningRequests;

	private long reportedMemoryTokens;

	private long incarnation;

	EndpointLoad(EndpointState state, FleetLoad fleet) {
		this.state = state;
		this.fleet = fleet;
	}

	EndpointState state() {
		return this.state;
	}

	SpeedEstimate speed() {
		return this.speed;
	}

	void dispatched(RunningWork work) {
		this.running.put(work.request().requestId(), work);
	}

	void ended(long requestId) {
		this.running.remove(requestId);
	}

	void loadReported(EndpointEvent.LoadReported event) {
		LoadReport report = event.report();
		if (report.incarnation() != this.incarnation) {
			this.prefixIndex.clear();
			this.incarnation = report.incarnation();
		}
		this.reportedMonotonicMillis = event.at().monotonicMillis() - report.ageMillis();
		this.reportedPrefillTokens = report.queuedPromptTokens();
		this.reportedRunningRequests = report.runningRequests();
		this.reportedRequests = report.runningRequests() + report.queuedRequests();
		this.reportedMemoryTokens = report.usedMemoryTokens();
	}

	void cacheChanged(EndpointEvent.CacheChanged event) {
		this.prefixIndex.update(event.complete(), event.addedBlocks(), event.evictedBlocks());
	}

	int cachedTokens(RequestSpec spec) {
		return this.prefixIndex.cachedTokens(spec);
	}

	int ownRequests() {
		return this.running.size();
	}

	/**
	 * Returns whether a suspected request of this instance runs on the endpoint.
	 * @return {@code true} if no other suspected request may start here
	 */
	boolean runsSuspect() {
		for (RunningWork work : this.running.values()) {
			if (work.request().suspected()) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the number of requests of all instances that the endpoint runs or has
	 * queued.
	 * @return number of requests
	 */
	int requests() {
		return Math.max(this.running.size(), this.reportedRequests + dispatchedSinceReport());
	}

	/**
	 * Returns the number of requests of all instances in the endpoint's batch, as of its
	 * last report.
	 * @return number of requests
	 */
	int batchedRequests() {
		return Math.max(this.running.size(), this.reportedRunningRequests);
	}

	private int dispatchedSinceReport() {
		int count = 0;
		for (RunningWork work : this.running.values()) {
			count += (work.dispatchedMonotonicMillis() >= this.reportedMonotonicMillis) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns the prompt tokens of all instances that the endpoint has yet to process.
	 * Each other instance is assumed to have sent as much since the last report as this
	 * one.
	 * @param nowMonotonicMillis the current time
	 * @return number of tokens
	 */
	long prefillTokens(long nowMonotonicMillis) {
		int instances = this.fleet.liveInstances();
		long own = 0;
		long sinceReport = 0;
		for (RunningWork work : this.running.values()) {
			own += remainingTokens(work, nowMonotonicMillis);
			if (work.dispatchedMonotonicMillis() >= this.reportedMonotonicMillis) {
				sinceReport += work.pendingPrefillTokens();
			}
		}
		double processedTokens = this.speed.prefillTokensPerMilli()
				* Math.max(0, nowMonotonicMillis - this.reportedMonotonicMillis);
		return Math.max(own,
				Math.max(0, this.reportedPrefillTokens + instances * sinceReport - (long) processedTokens));
	}

	private long remainingTokens(RunningWork work, long nowMonotonicMillis) {
		double processedTokens = this.speed.prefillTokensPerMilli()
				* (nowMonotonicMillis - work.dispatchedMonotonicMillis());
		return Math.max(0, work.pendingPrefillTokens() - (long) processedTokens);
	}

	/**
	 * Returns the unprocessed prompt tokens of this instance's prompts up to a given
	 * length.
	 * @param maxPromptTokens maximum length of the prompts counted
	 * @return number of tokens
	 */
	long ownPrefillTokens(int maxPromptTokens) {
		long tokens = 0;
		for (RunningWork work : this.running.values()) {
			if (work.request().spec().promptTokens() <= maxPromptTokens) {
				tokens += work.pendingPrefillTokens();
			}
		}
		return tokens;
	}

	/**
	 * Returns how many of this instance's prompts above a given length have no first
	 * token yet.
	 * @param promptTokens the length in tokens, exclusive
	 * @return number of requests
	 */
	int ownLongPrefills(int promptTokens) {
		int count = 0;
		for (RunningWork work : this.running.values()) {
			count += (work.prefilling() && work.request().spec().promptTokens() > promptTokens) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns the prompt and maximum output tokens of this instance's running requests.
	 * @return number of tokens
	 */
	long ownTokens() {
		long tokens = 0;
		for (RunningWork work : this.running.values()) {
			tokens += work.request().spec().totalTokens();
		}
		return tokens;
	}

	/**
	 * Returns the KV cache memory available to new work.
	 * @return number of tokens, not negative
	 */
	long freeMemoryTokens() {
		long own = 0;
		long sinceReport = 0;
		for (RunningWork work : this.running.values()) {
			own += work.memoryTokens();
			if (work.dispatchedMonotonicMillis() >= this.reportedMonotonicMillis) {
				sinceReport += work.memoryTokens();
			}
		}
		long used = Math.max(own, this.reportedMemoryTokens + sinceReport);
		return Math.max(0, this.state.description().memoryTokens() - used);
	}

}
