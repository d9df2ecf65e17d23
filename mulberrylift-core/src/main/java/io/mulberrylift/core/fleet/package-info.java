/**
 * State of the fleet as an instance sees it: configuration, instance list and endpoints.
 */
package io.mulberrylift.core.fleet;
