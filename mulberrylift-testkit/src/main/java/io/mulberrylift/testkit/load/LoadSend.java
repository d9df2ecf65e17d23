package io.mulberrylift.testkit.load;

/**
 * Where and when one send went.
 *
 * @param address the instance's address for callers
 * @param sentEpochMillis when it was sent, in milliseconds since the epoch
 * @param deadlineEpochMillis when it must be answered, in milliseconds since the epoch
 */
public record LoadSend(String address, long sentEpochMillis, long deadlineEpochMillis) {
}
