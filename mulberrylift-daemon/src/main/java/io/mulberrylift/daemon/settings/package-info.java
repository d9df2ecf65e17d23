/**
 * Settings of one instance and the published configuration as text.
 */
package io.mulberrylift.daemon.settings;
