/**
 * Tests for the quarantine of requests that crash endpoints.
 */
package io.mulberrylift.core.isolation;
