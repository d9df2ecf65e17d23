/**
 * The event loop that runs the reducer and executes its effects.
 */
package io.mulberrylift.daemon.loop;
