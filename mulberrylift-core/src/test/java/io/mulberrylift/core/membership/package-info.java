/**
 * Tests of heartbeats, liveness and pause detection.
 */
package io.mulberrylift.core.membership;
