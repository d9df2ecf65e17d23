/**
 * Soak test: a fleet of real processes under load with random faults, whose histories are
 * checked.
 */
package io.mulberrylift.testkit.soak;
