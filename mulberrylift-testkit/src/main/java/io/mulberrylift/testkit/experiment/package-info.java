/**
 * Comparison of routing policies on simulated fleets in virtual time, with optional
 * faults.
 */
package io.mulberrylift.testkit.experiment;
