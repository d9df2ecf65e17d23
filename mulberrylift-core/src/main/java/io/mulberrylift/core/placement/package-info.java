/**
 * Placement of forwarded requests: the cost model of engines, the work in progress at
 * each endpoint and the choice of endpoints.
 */
package io.mulberrylift.core.placement;
