/**
 * Histories of concurrent runs and the checker that judges the system's promises from
 * them alone.
 */
package io.mulberrylift.testkit.history;
