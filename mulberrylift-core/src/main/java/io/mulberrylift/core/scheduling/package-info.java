/**
 * Admission, queueing and choice of endpoints.
 */
package io.mulberrylift.core.scheduling;
