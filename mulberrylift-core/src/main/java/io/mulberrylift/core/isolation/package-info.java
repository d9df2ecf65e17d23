/**
 * Detection and quarantine of poison requests, which crash the endpoints that run them.
 */
package io.mulberrylift.core.isolation;
