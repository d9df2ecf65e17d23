/**
 * Promises across several instances, tested on one queue of virtual time.
 */
package io.mulberrylift.core.promise;
