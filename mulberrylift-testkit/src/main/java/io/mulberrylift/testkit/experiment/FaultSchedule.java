package io.mulberrylift.testkit.experiment;

/**
 * Begin and end of a fault, on the time scale of the requests.
 *
 * @param fault the fault
 * @param beginMicros begin of the fault in microseconds
 * @param endMicros end of the fault in microseconds
 */
record FaultSchedule(ExperimentFault fault, long beginMicros, long endMicros) {
}
