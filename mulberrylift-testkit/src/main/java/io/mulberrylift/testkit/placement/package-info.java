/**
 * Comparison of placement rules for prompts, on simulated engines with a published cost
 * model in virtual time.
 */
package io.mulberrylift.testkit.placement;
