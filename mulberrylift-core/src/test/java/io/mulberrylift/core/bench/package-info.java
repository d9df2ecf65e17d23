/**
 * Benchmarks of the reducer, run by {@code bin/bench} and not by the build.
 */
package io.mulberrylift.core.bench;
