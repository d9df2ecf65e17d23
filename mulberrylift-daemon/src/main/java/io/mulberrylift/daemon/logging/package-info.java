/**
 * Log output.
 */
package io.mulberrylift.daemon.logging;
