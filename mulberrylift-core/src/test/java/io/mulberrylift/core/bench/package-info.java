/**
 * Benchmarks of the reducer, run by a command of their own.
 */
package io.mulberrylift.core.bench;
