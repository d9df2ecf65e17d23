/**
 * Other instances: heartbeats, liveness and pauses of this process.
 */
package io.mulberrylift.core.membership;
