/**
 * The published configuration, its checks and its distribution.
 */
package io.mulberrylift.core.configuration;
