/**
 * Endpoint side of the gateway: connections, attempts and the classification of answers.
 */
package io.mulberrylift.gateway.endpoint;
