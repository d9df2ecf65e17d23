/**
 * The command line.
 */
package io.mulberrylift.daemon.cli;
