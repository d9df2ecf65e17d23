/**
 * The adapter for model engines and plain HTTP services.
 */
package io.mulberrylift.daemon.endpoint;
