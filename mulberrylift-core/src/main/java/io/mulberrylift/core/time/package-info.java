/**
 * Points in time, which the library receives with events and never reads from a clock.
 */
package io.mulberrylift.core.time;
