/**
 * HTTP server support shared by the stand-ins: routing, JSON bodies, line streams and
 * simulated network faults.
 */
package io.mulberrylift.testkit.http;
