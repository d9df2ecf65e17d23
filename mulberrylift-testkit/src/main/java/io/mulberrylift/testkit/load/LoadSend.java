package io.mulberrylift.testkit.load;

/**
 * Address and times of one send.
 *
 * @param address caller address of the instance
 * @param sentEpochMillis time of the send, in milliseconds since the epoch
 * @param deadlineEpochMillis deadline, in milliseconds since the epoch
 */
public record LoadSend(String address, long sentEpochMillis, long deadlineEpochMillis) {
}
