package io.mulberrylift.core.isolation;

import io.mulberrylift.core.model.EndpointId;

/**
 * A process of an endpoint, identified by its incarnation.
 *
 * @param endpoint the endpoint
 * @param incarnation the incarnation of the process, 0 if it has not reported one
 */
record EndpointProcess(EndpointId endpoint, long incarnation) {
}
