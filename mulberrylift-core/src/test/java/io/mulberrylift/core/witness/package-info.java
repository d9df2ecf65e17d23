/**
 * Tests of the witness.
 */
package io.mulberrylift.core.witness;
