/**
 * Points in time as the library sees them: data carried by events, never read from a
 * clock.
 */
package io.mulberrylift.core.time;
