/**
 * Requests in progress and their answers, shared by the adapters for callers and for
 * endpoints.
 */
package io.mulberrylift.daemon.exchange;
