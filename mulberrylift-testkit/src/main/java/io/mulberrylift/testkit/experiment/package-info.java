/**
 * Comparison of routing policies in virtual time.
 */
package io.mulberrylift.testkit.experiment;
