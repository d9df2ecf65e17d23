/**
 * Messages that instances exchange with each other.
 */
package io.mulberrylift.core.peer;
