package io.mulberrylift.core.gossip;

/**
 * The loss of an endpoint while it ran a request.
 *
 * @param fingerprint fingerprint of the request
 * @param endpointHash hash of the endpoint's identity
 */
public record CrashObservation(long fingerprint, int endpointHash) {
}
