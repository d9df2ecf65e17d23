/**
 * Tests of the isolation of crashing requests.
 */
package io.mulberrylift.core.isolation;
