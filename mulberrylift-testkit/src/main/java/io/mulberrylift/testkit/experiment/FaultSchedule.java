package io.mulberrylift.testkit.experiment;

/**
 * When a fault begins and ends, in the time of the requests.
 *
 * @param fault the fault
 * @param beginMicros its begin in microseconds
 * @param endMicros its end in microseconds
 */
record FaultSchedule(ExperimentFault fault, long beginMicros, long endMicros) {
}
