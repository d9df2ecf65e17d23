/**
 * The daemon module.
 */
package io.mulberrylift.daemon;
