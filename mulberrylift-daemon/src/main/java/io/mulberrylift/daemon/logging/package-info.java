/**
 * Configuration of log output and the handler of the reducer's log lines.
 */
package io.mulberrylift.daemon.logging;
