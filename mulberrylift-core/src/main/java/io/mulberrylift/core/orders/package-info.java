/**
 * Orders to model engines to load what the configuration wants.
 */
package io.mulberrylift.core.orders;
