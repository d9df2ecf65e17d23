/**
 * Command line interface of the stand-ins and their tools.
 */
package io.mulberrylift.testkit.command;
