package io.mulberrylift.core.forwarding;

import java.util.Objects;

/**
 * Where the answer to an attempt was read, for log lines.
 *
 * @param connection number of the connection in this process, 0 if there was none
 * @param requestOnConnection number of the attempt among those that the connection has
 * carried, from 1; 0 if it has carried none
 * @param skippedAnswers number of answers that were read before and were not its own,
 * interim ones included
 * @param receipt what the endpoint states about the run that it answers for, empty if it
 * states nothing
 */
public record AnswerOrigin(long connection, int requestOnConnection, int skippedAnswers, String receipt) {

	/** Origin of an attempt that has read nothing. */
	public static final AnswerOrigin NONE = new AnswerOrigin(0, 0, 0, "");

	public AnswerOrigin {
		if (connection < 0 || requestOnConnection < 0 || skippedAnswers < 0) {
			throw new IllegalArgumentException(
					"Numbers must not be negative: " + connection + ", " + requestOnConnection + ", " + skippedAnswers);
		}
		Objects.requireNonNull(receipt, "receipt");
	}

}
