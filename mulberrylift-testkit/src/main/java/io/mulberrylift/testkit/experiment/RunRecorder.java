package io.mulberrylift.testkit.experiment;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Records the outcome of each request of a run.
 *
 * <p>
 * Not safe for use by several threads. Times are those at which the caller observes the
 * event.
 * </p>
 */
final class RunRecorder {

	/** One-way delay between callers and entry instances in microseconds. */
	static final long CALLER_MICROS = 3_000;

	private final List<Arrival> arrivals;

	private final Arrival[] arrivalsById;

	private final long[] firstTokenMicros;

	private final long[] endMicros;

	private final Answer[] answers;

	private final int[] dispatchCount;

	private final Set<String> knownDown = new HashSet<>();

	private int dispatchesToKnownDown;

	private int refusedLoadReads;

	private long neededTokens;

	RunRecorder(List<Arrival> arrivals) {
		this.arrivals = arrivals;
		int size = arrivals.stream().mapToInt((arrival) -> (int) arrival.id()).max().orElse(0) + 1;
		this.firstTokenMicros = new long[size];
		this.endMicros = new long[size];
		this.answers = new Answer[size];
		this.arrivalsById = new Arrival[size];
		this.dispatchCount = new int[size];
		arrivals.forEach((arrival) -> this.arrivalsById[(int) arrival.id()] = arrival);
	}

	List<Arrival> arrivals() {
		return this.arrivals;
	}

	Arrival arrival(long id) {
		return this.arrivalsById[(int) id];
	}

	void recordFirstToken(long id, long atMicros) {
		if (this.firstTokenMicros[(int) id] == 0) {
			this.firstTokenMicros[(int) id] = atMicros + CALLER_MICROS;
		}
	}

	void recordDispatch(long id, int entry, int engine) {
		this.dispatchCount[(int) id]++;
		this.dispatchesToKnownDown += this.knownDown.contains(entry + "/" + engine) ? 1 : 0;
	}

	void recordFailedLoadRead(int entry, int engine, boolean connectionRefused) {
		if (connectionRefused) {
			this.knownDown.add(entry + "/" + engine);
			this.refusedLoadReads++;
		}
	}

	void recordLoadRead(int entry, int engine) {
		this.knownDown.remove(entry + "/" + engine);
	}

	int dispatchCount(Arrival arrival) {
		return this.dispatchCount[(int) arrival.id()];
	}

	/**
	 * Returns the number of dispatches to engines whose last load read by the same
	 * instance was refused.
	 * @return the number of dispatches
	 */
	int dispatchesToKnownDown() {
		return this.dispatchesToKnownDown;
	}

	int refusedLoadReads() {
		return this.refusedLoadReads;
	}

	void recordFinishedAttempt(long id, int cachedTokens) {
		if (this.answers[(int) id] == null) {
			this.neededTokens += arrival(id).totalTokens() - cachedTokens;
		}
	}

	void recordCompletion(long id, long atMicros) {
		recordEnd(id, Answer.ANSWERED, atMicros);
	}

	void recordRefusal(long id, Refusal refusal, long atMicros) {
		boolean onArrival = atMicros <= arrival(id).sendMicros() + CALLER_MICROS;
		boolean expired = refusal.reason() == RefusalReason.DEADLINE_PASSED;
		recordEnd(id, onArrival ? Answer.REFUSED : (expired ? Answer.LATE : Answer.FAILED), atMicros);
	}

	private void recordEnd(long id, Answer answer, long atMicros) {
		this.answers[(int) id] = answer;
		this.endMicros[(int) id] = atMicros + CALLER_MICROS;
	}

	/**
	 * Returns the time to first token of an answered request.
	 * @param arrival the request
	 * @return microseconds since the intended send time
	 */
	long firstTokenMicros(Arrival arrival) {
		return this.firstTokenMicros[(int) arrival.id()] - arrival.sendMicros();
	}

	/**
	 * Returns the time to the end of the answer or to the refusal.
	 * @param arrival the request
	 * @return microseconds since the intended send time
	 */
	long durationMicros(Arrival arrival) {
		return endMicros(arrival) - arrival.sendMicros();
	}

	long endMicros(Arrival arrival) {
		return this.endMicros[(int) arrival.id()];
	}

	/**
	 * Returns the outcome of a request.
	 * @param arrival the request
	 * @return the outcome, {@link Answer#FAILED} if the run ended before the request
	 */
	Answer answer(Arrival arrival) {
		Answer answer = this.answers[(int) arrival.id()];
		return (answer != null) ? answer : Answer.FAILED;
	}

	/**
	 * Returns the tokens that engines had to compute for the answered requests.
	 * @return uncached prompt tokens and answer tokens
	 */
	long neededTokens() {
		return this.neededTokens;
	}

	/**
	 * Outcome of a request.
	 */
	enum Answer {

		/** Answered completely by its deadline. */
		ANSWERED,

		/** Refused on arrival. */
		REFUSED,

		/** Admitted but ended by its deadline. */
		LATE,

		/** Admitted but ended for another reason. */
		FAILED

	}

}
