/**
 * Gossip messages between instances.
 */
package io.mulberrylift.gateway.peer;
