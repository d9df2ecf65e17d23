/**
 * Forwarding of callers' HTTP requests to endpoints: routes, API keys, attempts, retries,
 * draining and refusals, implemented as a reducer of events to effects.
 */
package io.mulberrylift.core.forwarding;
