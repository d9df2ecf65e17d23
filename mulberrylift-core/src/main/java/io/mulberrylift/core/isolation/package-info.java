/**
 * Requests that crash endpoints.
 */
package io.mulberrylift.core.isolation;
