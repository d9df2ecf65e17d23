/**
 * Events that the reducer consumes, each with the time at which it was observed.
 */
package io.mulberrylift.core.event;
