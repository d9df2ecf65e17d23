/**
 * Grants by which a non-idempotent request runs at most once.
 */
package io.mulberrylift.core.witness;
