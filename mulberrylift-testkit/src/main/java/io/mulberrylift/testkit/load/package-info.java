/**
 * Open-loop load on running instances, with a history of what callers saw.
 */
package io.mulberrylift.testkit.load;
