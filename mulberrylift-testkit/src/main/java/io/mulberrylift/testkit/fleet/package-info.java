/**
 * A whole small fleet in operating-system processes on this machine, for demonstrations
 * and tests of failures.
 */
package io.mulberrylift.testkit.fleet;
