/**
 * The protocol between instances: framed MessagePack over TCP.
 */
package io.mulberrylift.daemon.peer;
