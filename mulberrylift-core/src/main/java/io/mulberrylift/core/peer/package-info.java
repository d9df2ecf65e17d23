/**
 * Messages exchanged between instances.
 */
package io.mulberrylift.core.peer;
