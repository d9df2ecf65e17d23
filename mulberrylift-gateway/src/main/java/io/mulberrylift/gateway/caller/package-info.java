/**
 * Caller side of the gateway: connections, requests and answers.
 */
package io.mulberrylift.gateway.caller;
