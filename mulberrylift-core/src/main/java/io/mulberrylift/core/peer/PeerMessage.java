package io.mulberrylift.core.peer;

/**
 * A message between two instances.
 *
 * <p>
 * Immutable. Messages may be lost, duplicated, reordered or delayed, and every receiver
 * must tolerate this.
 * </p>
 */
public sealed interface PeerMessage permits Heartbeat, WitnessMessage, ConfigurationMessage, SuspectNotice {

}
