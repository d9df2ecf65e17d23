/**
 * The life of a request from arrival to its one final answer.
 */
package io.mulberrylift.core.request;
