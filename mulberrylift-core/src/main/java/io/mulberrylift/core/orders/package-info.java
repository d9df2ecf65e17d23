/**
 * Control orders that bring model engines to the models, adapters and roles of the
 * configuration.
 */
package io.mulberrylift.core.orders;
