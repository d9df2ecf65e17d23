/**
 * Requests of operators that concern whole availability zones.
 */
package io.mulberrylift.core.zone;
