/**
 * Tests of a fleet of real processes under failures.
 */
package io.mulberrylift.daemon.process;
