/**
 * Event loop that owns the reducer and executes its effects.
 */
package io.mulberrylift.gateway.loop;
