/**
 * Stand-in for a plain service, an endpoint that serves HTTP calls without a model.
 */
package io.mulberrylift.testkit.service;
