/**
 * The HTTP client shared by the endpoint and platform adapters.
 */
package io.mulberrylift.daemon.outbound;
