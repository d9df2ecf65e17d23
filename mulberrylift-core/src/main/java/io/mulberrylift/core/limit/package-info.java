/**
 * What endpoints say about the requests that they accept, bounds that hold for all
 * instances together, and the share of them that a single instance may use.
 */
package io.mulberrylift.core.limit;
