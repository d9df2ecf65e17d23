/**
 * Entry point of the daemon.
 */
package io.mulberrylift.daemon;
