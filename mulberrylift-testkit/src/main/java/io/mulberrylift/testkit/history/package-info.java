/**
 * Histories of concurrent runs, and a checker that verifies the guarantees of the system
 * from them.
 */
package io.mulberrylift.testkit.history;
