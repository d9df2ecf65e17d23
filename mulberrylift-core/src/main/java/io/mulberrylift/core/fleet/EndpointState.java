package io.mulberrylift.core.fleet;

import java.util.Optional;

import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.retry.CircuitBreaker;

/**
 * State of one endpoint as this instance sees it.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Once any source reports that the endpoint is
 * leaving, it gets no new work until its process restarts. An endpoint whose load cannot
 * be read gets no requests, not even the trial requests of its circuit breaker, until a
 * read succeeds. This applies from the first failed read if the connection was refused or
 * the circuit breaker is not closed, otherwise from the second one.
 * </p>
 */
public final class EndpointState {

	private static final int MIN_FAILED_READS_TO_EXCLUDE = 2;

	private final CircuitBreaker circuitBreaker = new CircuitBreaker();

	private int failedLoadReads;

	private boolean loadConnectionRefused;

	private EndpointDescription description;

	private LoadReport lastReport;

	private long lastReportMonotonicMillis;

	private boolean draining;

	private int runningAttempts;

	private boolean loadReadPending;

	private long nextLoadReadMonotonicMillis;

	/**
	 * Creates the state of a newly listed endpoint.
	 * @param description the published description, not null
	 */
	public EndpointState(EndpointDescription description) {
		this.description = description;
	}

	public EndpointId id() {
		return this.description.id();
	}

	public EndpointDescription description() {
		return this.description;
	}

	void updateDescription(EndpointDescription newDescription) {
		this.description = newDescription;
	}

	/**
	 * Returns whether new work may be sent to the endpoint.
	 * @param nowMonotonicMillis the current monotonic time in milliseconds
	 * @return false when the endpoint is leaving or known to be unreachable, or its
	 * circuit breaker is open
	 */
	public boolean accepts(long nowMonotonicMillis) {
		return !this.draining && !this.description.leaving() && !isKnownUnreachable()
				&& this.circuitBreaker.allows(nowMonotonicMillis);
	}

	/**
	 * Records that the endpoint reported that it is draining.
	 */
	public void markDraining() {
		this.draining = true;
	}

	/**
	 * Records a load report.
	 * @param report the report
	 * @param nowMonotonicMillis the monotonic time at which it arrived, in milliseconds
	 * @return whether the endpoint's process has restarted since the last report
	 */
	public boolean recordReport(LoadReport report, long nowMonotonicMillis) {
		boolean restarted = this.lastReport != null && this.lastReport.incarnation() != report.incarnation();
		this.lastReport = report;
		this.failedLoadReads = 0;
		this.loadConnectionRefused = false;
		this.lastReportMonotonicMillis = nowMonotonicMillis;
		this.draining = report.draining() || (this.draining && !restarted);
		return restarted;
	}

	/**
	 * Returns the most recent load report.
	 * @return the report, empty before the first one
	 */
	public Optional<LoadReport> lastReport() {
		return Optional.ofNullable(this.lastReport);
	}

	/**
	 * Returns when the most recent load report arrived.
	 * @return the monotonic time in milliseconds, 0 before the first report
	 */
	public long lastReportMonotonicMillis() {
		return this.lastReportMonotonicMillis;
	}

	public CircuitBreaker circuitBreaker() {
		return this.circuitBreaker;
	}

	/**
	 * Records that an attempt of this instance started, and reports it to the circuit
	 * breaker.
	 */
	public void attemptStarted() {
		this.runningAttempts++;
		this.circuitBreaker.sent();
	}

	/**
	 * Records that an attempt of this instance ended.
	 */
	public void attemptEnded() {
		this.runningAttempts--;
	}

	/**
	 * Returns the number of attempts of this instance that are running on the endpoint.
	 * @return the number of attempts
	 */
	public int runningAttempts() {
		return this.runningAttempts;
	}

	/**
	 * Returns whether the endpoint is draining or listed as leaving.
	 * @return true if it gets no new work
	 */
	public boolean isLeaving() {
		return this.draining || this.description.leaving();
	}

	private boolean isKnownUnreachable() {
		boolean suspected = this.failedLoadReads > 0 && !this.circuitBreaker.isClosed();
		return this.loadConnectionRefused || suspected || this.failedLoadReads >= MIN_FAILED_READS_TO_EXCLUDE;
	}

	void loadReadFailed(boolean refused) {
		this.failedLoadReads++;
		this.loadConnectionRefused = refused;
	}

	boolean isLoadReadDue(long nowMonotonicMillis) {
		return !this.loadReadPending && nowMonotonicMillis >= this.nextLoadReadMonotonicMillis;
	}

	void loadReadSent(long nextMonotonicMillis) {
		this.loadReadPending = true;
		this.nextLoadReadMonotonicMillis = nextMonotonicMillis;
	}

	void loadReadEnded() {
		this.loadReadPending = false;
	}

}
