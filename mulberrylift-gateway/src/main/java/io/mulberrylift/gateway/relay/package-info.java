/**
 * Requests that an instance which does not reach their endpoints hands to a peer.
 */
package io.mulberrylift.gateway.relay;
