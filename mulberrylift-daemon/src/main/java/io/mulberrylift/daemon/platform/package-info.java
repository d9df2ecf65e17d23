/**
 * Adapter for the platform's configuration service and instance list.
 */
package io.mulberrylift.daemon.platform;
