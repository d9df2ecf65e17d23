/**
 * Retry budget, backoff and circuit breaking.
 */
package io.mulberrylift.core.retry;
