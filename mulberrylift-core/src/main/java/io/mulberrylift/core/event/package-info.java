/**
 * Events that the reducer consumes, each with the moment at which it was observed.
 */
package io.mulberrylift.core.event;
