package io.mulberrylift.core.isolation;

import io.mulberrylift.core.model.EndpointId;

/**
 * One process of an endpoint that was lost or may have been lost.
 *
 * @param endpoint the endpoint
 * @param incarnation the lost process, 0 when it never reported
 */
record EndpointProcess(EndpointId endpoint, long incarnation) {
}
