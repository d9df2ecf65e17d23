/**
 * HTTP resources of the operator port: health, readiness, metrics and state.
 */
package io.mulberrylift.daemon.admin;
