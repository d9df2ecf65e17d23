/**
 * Hash functions that every instance computes alike.
 */
package io.mulberrylift.core.hash;
