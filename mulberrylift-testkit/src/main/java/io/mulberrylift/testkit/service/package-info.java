/**
 * The stand-in of a plain service.
 */
package io.mulberrylift.testkit.service;
