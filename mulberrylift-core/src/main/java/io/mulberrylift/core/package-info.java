/**
 * The reducer: the deterministic state machine that makes all decisions of an instance.
 */
package io.mulberrylift.core;
