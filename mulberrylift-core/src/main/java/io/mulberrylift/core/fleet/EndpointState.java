package io.mulberrylift.core.fleet;

import java.util.Optional;

import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.retry.CircuitBreaker;

/**
 * What this instance knows of one endpoint.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. Once a source says that the
 * endpoint is leaving it gets no new work until its process restarts. An endpoint whose
 * load could not be read gets no callers' requests, not even as a trial, until a read
 * succeeds: at once when its machine refused the connection or its circuit breaker is
 * open, else from the second failed read on.
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

	/**
	 * Returns the identity.
	 * @return the endpoint
	 */
	public EndpointId id() {
		return this.description.id();
	}

	/**
	 * Returns the published description.
	 * @return the description
	 */
	public EndpointDescription description() {
		return this.description;
	}

	void updateDescription(EndpointDescription newDescription) {
		this.description = newDescription;
	}

	/**
	 * Returns whether new work may be sent.
	 * @param nowMonotonicMillis the current time
	 * @return false when the endpoint is leaving, known to be unreachable, or its circuit
	 * breaker is open
	 */
	public boolean accepts(long nowMonotonicMillis) {
		return !this.draining && !this.description.leaving() && !isKnownUnreachable()
				&& this.circuitBreaker.allows(nowMonotonicMillis);
	}

	/**
	 * Records that the endpoint said it is leaving.
	 */
	public void markDraining() {
		this.draining = true;
	}

	/**
	 * Records a load report.
	 * @param report the report
	 * @param nowMonotonicMillis when it arrived
	 * @return whether the endpoint's process restarted since the last report
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
	 * Returns the last load report.
	 * @return the report, empty before the first
	 */
	public Optional<LoadReport> lastReport() {
		return Optional.ofNullable(this.lastReport);
	}

	/**
	 * Returns when the last load report arrived.
	 * @return the monotonic time in milliseconds, 0 before the first
	 */
	public long lastReportMonotonicMillis() {
		return this.lastReportMonotonicMillis;
	}

	/**
	 * Returns the endpoint's circuit breaker.
	 * @return the circuit breaker
	 */
	public CircuitBreaker circuitBreaker() {
		return this.circuitBreaker;
	}

	/**
	 * Records that a try began.
	 */
	public void attemptStarted() {
		this.runningAttempts++;
		this.circuitBreaker.sent();
	}

	/**
	 * Records that a try ended.
	 */
	public void attemptEnded() {
		this.runningAttempts--;
	}

	/**
	 * Returns how many tries of this instance run there.
	 * @return the number of tries
	 */
	public int runningAttempts() {
		return this.runningAttempts;
	}

	/**
	 * Returns whether the endpoint is known to be leaving.
	 * @return true if so
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
