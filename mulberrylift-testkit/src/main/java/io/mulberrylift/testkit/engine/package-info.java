/**
 * Stand-in for a model engine: a timing model without clock or threads, and an HTTP
 * server that runs it.
 */
package io.mulberrylift.testkit.engine;
