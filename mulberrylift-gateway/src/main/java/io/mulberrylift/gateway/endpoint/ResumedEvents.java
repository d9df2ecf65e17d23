package io.mulberrylift.gateway.endpoint;

import java.math.BigInteger;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Tells the events of a resumed stream that the caller has from those that follow.
 *
 * <p>
 * Not thread-safe; each attempt has its own instance. Identifiers that are whole numbers
 * are in the order of their values; others are compared for equality only.
 * </p>
 */
final class ResumedEvents {

	private static final Pattern WHOLE_NUMBER = Pattern.compile("\\d{1,64}");

	private final String after;

	private Position position = Position.UNKNOWN;

	/**
	 * Creates an instance that has seen no event.
	 * @param after identifier of the last event that the caller has
	 */
	ResumedEvents(String after) {
		this.after = Objects.requireNonNull(after, "after");
	}

	/**
	 * Places the next event.
	 * @param event the event
	 * @return its place in the stream that the caller has
	 */
	Place next(StreamEvent event) {
		if (event.id().isPresent()) {
			String id = event.id().get();
			boolean repeated = isAtMost(id, this.after);
			if (this.position != Position.REACHED) {
				boolean before = repeated && !id.equals(this.after);
				this.position = (before) ? Position.BEFORE : Position.REACHED;
			}
			return (repeated) ? Place.REPEATED : Place.NEW;
		}
		if (this.position == Position.UNKNOWN && event.isUnidentifiedData()) {
			return Place.UNKNOWN;
		}
		return (this.position == Position.BEFORE) ? Place.REPEATED : Place.NEW;
	}

	/**
	 * Returns whether the stream would be shorter than what the caller has if it ended
	 * now.
	 * @return {@code false} if it has no events at all, as after the last event
	 */
	boolean endsTooEarly() {
		return this.position == Position.BEFORE;
	}

	/**
	 * Returns whether an event is not later than another one.
	 * @param id identifier of the event
	 * @param last identifier of the other event
	 * @return {@code false} if their order is not known
	 */
	static boolean isAtMost(String id, String last) {
		if (id.equals(last)) {
			return true;
		}
		if (!WHOLE_NUMBER.matcher(id).matches() || !WHOLE_NUMBER.matcher(last).matches()) {
			return false;
		}
		return new BigInteger(id).compareTo(new BigInteger(last)) <= 0;
	}

	/** Place of an event in the stream that the caller has the beginning of. */
	enum Place {

		/** The caller has the event. */
		REPEATED,

		/** The event follows. */
		NEW,

		/** Nothing tells whether the caller has the event. */
		UNKNOWN

	}

	/** Where a resumed stream is, compared with the last event that the caller has. */
	private enum Position {

		UNKNOWN, BEFORE, REACHED

	}

}
