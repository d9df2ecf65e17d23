/**
 * Tests of the guarantees that several instances give together, simulated in virtual
 * time.
 */
package io.mulberrylift.core.promise;
