/**
 * Tests of parsing and validating settings and published configurations.
 */
package io.mulberrylift.daemon.settings;
