/**
 * Tests of the package.
 */
package io.mulberrylift.daemon.logging;
