/**
 * Effects that the reducer returns as data for the embedding process to carry out.
 */
package io.mulberrylift.core.effect;
