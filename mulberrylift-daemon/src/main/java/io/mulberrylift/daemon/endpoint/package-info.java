/**
 * The adapter towards model engines and plain services.
 */
package io.mulberrylift.daemon.endpoint;
