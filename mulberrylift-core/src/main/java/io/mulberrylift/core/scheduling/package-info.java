/**
 * Admission control, queueing and endpoint selection.
 */
package io.mulberrylift.core.scheduling;
