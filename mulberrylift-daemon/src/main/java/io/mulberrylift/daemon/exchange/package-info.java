/**
 * Callers' requests and answers as the adapters towards callers and towards endpoints
 * share them.
 */
package io.mulberrylift.daemon.exchange;
