/**
 * A fleet of real processes under load with random faults, judged by its histories.
 */
package io.mulberrylift.testkit.soak;
