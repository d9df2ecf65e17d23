/**
 * Heartbeats, the liveness of other instances, and detection of pauses of this process.
 */
package io.mulberrylift.core.membership;
