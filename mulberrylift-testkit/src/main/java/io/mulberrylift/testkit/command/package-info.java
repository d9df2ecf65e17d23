/**
 * Command line of the stand-ins.
 */
package io.mulberrylift.testkit.command;
