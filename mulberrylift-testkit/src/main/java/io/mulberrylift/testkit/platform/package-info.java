/**
 * Stand-in for the platform: configuration service and instance list.
 */
package io.mulberrylift.testkit.platform;
