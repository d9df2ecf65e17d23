/**
 * A small fleet that runs in separate operating-system processes on this machine, for
 * demonstrations and failure tests.
 */
package io.mulberrylift.testkit.fleet;
