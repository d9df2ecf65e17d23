/**
 * The command line and its subcommands.
 */
package io.mulberrylift.daemon.cli;
