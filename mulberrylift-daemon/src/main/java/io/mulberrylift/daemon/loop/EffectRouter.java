package io.mulberrylift.daemon.loop;

import java.util.Objects;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.effect.RequestEffect;

/**
 * Passes each effect to the handler of its kind.
 *
 * @param requests carries out effects towards callers
 * @param attempts carries out tries on endpoints
 * @param endpoints carries out other calls to endpoints
 * @param platform carries out reads of the platform
 * @param peers carries out messages to other instances
 * @param control carries out effects on this process
 */
public record EffectRouter(EffectHandler<RequestEffect> requests, EffectHandler<AttemptEffect> attempts,
		EffectHandler<EndpointEffect> endpoints, EffectHandler<PlatformEffect> platform,
		EffectHandler<PeerEffect> peers, EffectHandler<ControlEffect> control) implements EffectHandler<Effect> {

	/**
	 * Creates the router.
	 * @throws NullPointerException if a handler is null
	 */
	public EffectRouter {
		Objects.requireNonNull(requests, "requests");
		Objects.requireNonNull(attempts, "attempts");
		Objects.requireNonNull(endpoints, "endpoints");
		Objects.requireNonNull(platform, "platform");
		Objects.requireNonNull(peers, "peers");
		Objects.requireNonNull(control, "control");
	}

	@Override
	public void handle(Effect effect) {
		if (effect instanceof RequestEffect request) {
			this.requests.handle(request);
		}
		else if (effect instanceof AttemptEffect attempt) {
			this.attempts.handle(attempt);
		}
		else if (effect instanceof EndpointEffect endpoint) {
			this.endpoints.handle(endpoint);
		}
		else if (effect instanceof PlatformEffect read) {
			this.platform.handle(read);
		}
		else if (effect instanceof PeerEffect message) {
			this.peers.handle(message);
		}
		else if (effect instanceof ControlEffect own) {
			this.control.handle(own);
		}
	}

}
