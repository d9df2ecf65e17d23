/**
 * Orders to model engines to load what the configuration wants and to take the wanted
 * roles.
 */
package io.mulberrylift.core.orders;
