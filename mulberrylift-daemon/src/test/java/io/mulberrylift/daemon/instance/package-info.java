/**
 * Tests of whole instances.
 */
package io.mulberrylift.daemon.instance;
