/**
 * Reservations of engine memory and their release.
 */
package io.mulberrylift.core.memory;
