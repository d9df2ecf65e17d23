/**
 * Tests of at-most-once execution.
 */
package io.mulberrylift.core.witness;
