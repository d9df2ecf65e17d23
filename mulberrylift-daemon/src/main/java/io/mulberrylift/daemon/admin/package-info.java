/**
 * The HTTP interface towards operators.
 */
package io.mulberrylift.daemon.admin;
