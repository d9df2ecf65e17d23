/**
 * What requests cost, learned from what instances see, and the choice of endpoints by it.
 */
package io.mulberrylift.core.cost;
