/**
 * Parsing and validation of an instance's settings and of published configurations.
 */
package io.mulberrylift.daemon.settings;
