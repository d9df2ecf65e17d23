/**
 * Structured log on standard output.
 */
package io.mulberrylift.gateway.logging;
