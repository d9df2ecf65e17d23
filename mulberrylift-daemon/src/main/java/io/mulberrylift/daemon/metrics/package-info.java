/**
 * Counters and histograms of one instance.
 */
package io.mulberrylift.daemon.metrics;
