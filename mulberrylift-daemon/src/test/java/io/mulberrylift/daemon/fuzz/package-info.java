/**
 * Fuzz tests of all input from outside the process, with seeds that reproduce each input.
 */
package io.mulberrylift.daemon.fuzz;
