/**
 * Reservation and release of engine memory.
 */
package io.mulberrylift.core.memory;
