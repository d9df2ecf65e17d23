/**
 * The HTTP server and its API for callers.
 */
package io.mulberrylift.daemon.caller;
