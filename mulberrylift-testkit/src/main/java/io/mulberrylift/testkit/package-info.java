/**
 * The testkit module.
 */
package io.mulberrylift.testkit;
