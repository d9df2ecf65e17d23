/**
 * Hash functions that give the same result on every instance.
 */
package io.mulberrylift.core.hash;
