/**
 * The event loop that owns the reducer.
 */
package io.mulberrylift.daemon.loop;
