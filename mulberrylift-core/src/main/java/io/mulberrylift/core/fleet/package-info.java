/**
 * What the instance knows of the fleet: configuration, instance list and endpoints.
 */
package io.mulberrylift.core.fleet;
