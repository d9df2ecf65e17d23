package io.mulberrylift.core.isolation;

/**
 * One attempt of a request on an endpoint.
 *
 * @param fingerprint the request's fingerprint
 * @param process the endpoint's process
 * @param suspected whether the request ran as a suspected poison request, without another
 * suspect on the endpoint
 */
record RequestAttempt(long fingerprint, EndpointProcess process, boolean suspected) {
}
