package io.mulberrylift.core.isolation;

/**
 * One try of a request on an endpoint.
 *
 * @param fingerprint the request's fingerprint
 * @param process the endpoint's process
 * @param suspected whether the request ran as a suspect, alone among suspects
 */
record RequestAttempt(long fingerprint, EndpointProcess process, boolean suspected) {
}
