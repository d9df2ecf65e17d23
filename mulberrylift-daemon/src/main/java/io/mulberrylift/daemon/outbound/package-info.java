/**
 * The HTTP client that the adapters towards endpoints and the platform share.
 */
package io.mulberrylift.daemon.outbound;
