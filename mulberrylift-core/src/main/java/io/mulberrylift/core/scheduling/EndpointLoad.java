package io.mulberrylift.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.EndpointState;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.model.RequestSpec;

/**
 * What this instance believes of the load of one endpoint: its own work exactly, the work
 * of all instances from the last report, aged by the endpoint's speed.
 *
 * <p>
 * Not safe for use by several threads; owned by the scheduler.
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
	 * Returns whether a request that suffers no other suspect beside it runs here.
	 * @return true if so
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
	 * Returns the requests of all instances that the endpoint is working on or has
	 * queued.
	 * @return number of requests
	 */
	int requests() {
		return Math.max(this.running.size(), this.reportedRequests + dispatchedSinceReport());
	}

	/**
	 * Returns the requests of all instances that the endpoint had in its batch when it
	 * reported.
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
	 * Since the last report the other instances are taken to have sent as much each as
	 * this one.
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
		double doneTokens = this.speed.prefillTokensPerMilli()
				* Math.max(0, nowMonotonicMillis - this.reportedMonotonicMillis);
		return Math.max(own, Math.max(0, this.reportedPrefillTokens + instances * sinceReport - (long) doneTokens));
	}

	private long remainingTokens(RunningWork work, long nowMonotonicMillis) {
		double doneTokens = this.speed.prefillTokensPerMilli()
				* (nowMonotonicMillis - work.dispatchedMonotonicMillis());
		return Math.max(0, work.pendingPrefillTokens() - (long) doneTokens);
	}

	/**
	 * Returns the prompt tokens not yet processed of this instance's prompts up to a
	 * length.
	 * @param maxPromptTokens greatest length counted
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
	 * Returns how many of this instance's prompts above a length have no first token yet.
	 * @param promptTokens the length
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
	 * Returns the prompt and output tokens of this instance's running requests.
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
	 * Returns the memory that new work can take now.
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
