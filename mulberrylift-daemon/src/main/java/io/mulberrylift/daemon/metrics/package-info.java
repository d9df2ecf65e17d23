/**
 * Counters and histograms of an instance.
 */
package io.mulberrylift.daemon.metrics;
