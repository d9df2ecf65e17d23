/**
 * Gossip between gateway instances: membership discovered from seeds, and digests of
 * bounded size about work in progress.
 */
package io.mulberrylift.core.gossip;
