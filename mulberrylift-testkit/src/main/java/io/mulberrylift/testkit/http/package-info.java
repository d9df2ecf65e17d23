/**
 * HTTP plumbing shared by the stand-ins: routing, JSON bodies, streams of lines and
 * network faults.
 */
package io.mulberrylift.testkit.http;
