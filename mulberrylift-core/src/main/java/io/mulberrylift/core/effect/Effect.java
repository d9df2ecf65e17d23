package io.mulberrylift.core.effect;

/**
 * Something that the embedding process is to carry out.
 *
 * <p>
 * Immutable. Effects are carried out in the order in which they are returned; results
 * come back as events.
 * </p>
 */
public sealed interface Effect
		permits RequestEffect, AttemptEffect, EndpointEffect, PlatformEffect, PeerEffect, ControlEffect {

}
