/**
 * Stand-ins for the platform and the endpoints, and the tools that run, load and check a
 * fleet against them.
 */
package io.mulberrylift.testkit;
