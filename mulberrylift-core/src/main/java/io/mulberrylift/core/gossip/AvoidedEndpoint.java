package io.mulberrylift.core.gossip;

/**
 * An endpoint that an instance does not send requests to for a while after a fault.
 *
 * @param endpointHash hash of the endpoint's identity
 * @param leftMillis remaining time in milliseconds
 */
public record AvoidedEndpoint(int endpointHash, long leftMillis) {

}
