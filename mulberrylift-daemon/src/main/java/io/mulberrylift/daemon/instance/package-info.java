/**
 * One entry instance: the process that ties callers, endpoints, platform and other
 * instances to the reducer.
 */
package io.mulberrylift.daemon.instance;
