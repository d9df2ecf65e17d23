/**
 * The core module.
 */
package io.mulberrylift.core;
