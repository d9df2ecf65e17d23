/**
 * Wiring of one entry instance: connects callers, endpoints, the platform and other
 * instances to the reducer.
 */
package io.mulberrylift.daemon.instance;
