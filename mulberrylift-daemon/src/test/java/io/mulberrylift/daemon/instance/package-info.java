/**
 * Tests of complete instances.
 */
package io.mulberrylift.daemon.instance;
