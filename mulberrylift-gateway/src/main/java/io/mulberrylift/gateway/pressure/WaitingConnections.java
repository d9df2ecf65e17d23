package io.mulberrylift.gateway.pressure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Connections on which nothing is read or sent because the other side reads slowly.
 *
 * <p>
 * Not thread-safe; confined to the event loop. A connection is reported once for each
 * time that it waits, and few at a time.
 * </p>
 */
public final class WaitingConnections {

	/** Age from which a waiting connection is reported, in milliseconds. */
	public static final long REPORT_MILLIS = 1000;

	/** Maximum number of connections reported at a time. */
	static final int MAX_REPORTS = 5;

	private final LongSupplier clockMillis;

	private final Map<Key, Wait> waits = new HashMap<>();

	/**
	 * Creates an instance without connections.
	 * @param clockMillis monotonic time in milliseconds
	 */
	public WaitingConnections(LongSupplier clockMillis) {
		this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
	}

	/**
	 * Records that a connection waits. Has no effect if it waits already.
	 * @param reason what waits
	 * @param id identifier of the request or attempt
	 */
	public void begin(Reason reason, long id) {
		this.waits.putIfAbsent(new Key(reason, id), new Wait(this.clockMillis.getAsLong(), false));
	}

	/**
	 * Records that a connection does not wait any more.
	 * @param reason what waited
	 * @param id identifier of the request or attempt
	 */
	public void end(Reason reason, long id) {
		this.waits.remove(new Key(reason, id));
	}

	/**
	 * Returns the number of waiting connections.
	 * @return the number
	 */
	public int count() {
		return this.waits.size();
	}

	/**
	 * Returns connections that have waited for long and were not reported yet.
	 * @return a few of them
	 */
	public List<Report> pollReports() {
		long now = this.clockMillis.getAsLong();
		List<Report> reports = new ArrayList<>();
		for (Map.Entry<Key, Wait> each : this.waits.entrySet()) {
			long age = now - each.getValue().sinceMillis();
			if (!each.getValue().reported() && age >= REPORT_MILLIS && reports.size() < MAX_REPORTS) {
				each.setValue(new Wait(each.getValue().sinceMillis(), true));
				reports.add(new Report(each.getKey().reason(), each.getKey().id(), age));
			}
		}
		return reports;
	}

	/**
	 * What waits for whom.
	 */
	public enum Reason {

		/** The stream of an attempt isn't read, since its caller reads slowly. */
		STREAM_READING,

		/** A complete answer isn't sent, since its caller reads slowly. */
		ANSWER_SENDING,

		/** The body of an attempt isn't sent, since its endpoint reads slowly. */
		REQUEST_SENDING

	}

	/**
	 * A connection that has waited for long.
	 *
	 * @param reason what waits
	 * @param id identifier of the request, or of the attempt if an endpoint is waited for
	 * or not read
	 * @param ageMillis time for which it has waited
	 */
	public record Report(Reason reason, long id, long ageMillis) {
	}

	private record Key(Reason reason, long id) {
	}

	private record Wait(long sinceMillis, boolean reported) {
	}

}
