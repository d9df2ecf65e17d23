package io.mulberrylift.core.gossip;

/**
 * A request during whose execution an endpoint was lost.
 *
 * @param fingerprint fingerprint of the request
 * @param endpointHash hash of the endpoint's identity
 */
public record CrashObservation(long fingerprint, int endpointHash) {
}
