/**
 * Tests of the HTTP interface towards callers.
 */
package io.mulberrylift.daemon.caller;
