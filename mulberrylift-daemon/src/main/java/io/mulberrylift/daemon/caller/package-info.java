/**
 * The HTTP interface towards callers.
 */
package io.mulberrylift.daemon.caller;
