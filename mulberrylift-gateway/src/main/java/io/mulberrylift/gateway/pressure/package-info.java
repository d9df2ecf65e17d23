/**
 * Bounds on the bytes held for callers and endpoints that read slowly.
 */
package io.mulberrylift.gateway.pressure;
