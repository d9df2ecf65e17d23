/**
 * Retry budget, backoff and circuit breaker.
 */
package io.mulberrylift.core.retry;
