/**
 * Tests of a fleet of real processes under failure.
 */
package io.mulberrylift.daemon.process;
