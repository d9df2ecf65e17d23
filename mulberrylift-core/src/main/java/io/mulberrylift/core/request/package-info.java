/**
 * Lifecycle of a request from its arrival to its single final answer.
 */
package io.mulberrylift.core.request;
