/**
 * Open-loop load generator for running instances, with a history of the events seen by
 * callers.
 */
package io.mulberrylift.testkit.load;
