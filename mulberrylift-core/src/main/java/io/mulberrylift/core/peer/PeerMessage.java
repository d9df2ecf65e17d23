package io.mulberrylift.core.peer;

/**
 * A message between two instances.
 *
 * <p>
 * Immutable. Messages may be lost, doubled, reordered or late; every receiver must cope
 * with each of these.
 * </p>
 */
public sealed interface PeerMessage permits Heartbeat, WitnessMessage, ConfigurationMessage, SuspectNotice {

}
