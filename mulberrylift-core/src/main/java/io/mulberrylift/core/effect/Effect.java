package io.mulberrylift.core.effect;

/**
 * An action that the embedding process must execute.
 *
 * <p>
 * Immutable. Effects are executed in the order in which they are returned; their results
 * are reported back as events.
 * </p>
 */
public sealed interface Effect
		permits RequestEffect, AttemptEffect, EndpointEffect, PlatformEffect, PeerEffect, ControlEffect {

}
