/**
 * The adapter towards the platform's configuration service and instance list.
 */
package io.mulberrylift.daemon.platform;
