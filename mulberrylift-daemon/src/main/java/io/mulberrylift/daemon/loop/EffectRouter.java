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
 * Dispatches each effect to the handler for its type.
 *
 * @param requests handles effects on callers' requests
 * @param attempts handles attempts on endpoints
 * @param endpoints handles other calls to endpoints
 * @param platform handles reads from the platform
 * @param peers handles messages to other instances
 * @param control handles effects on this process
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
		else if (effect instanceof PlatformEffect platformEffect) {
			this.platform.handle(platformEffect);
		}
		else if (effect instanceof PeerEffect peerEffect) {
			this.peers.handle(peerEffect);
		}
		else if (effect instanceof ControlEffect controlEffect) {
			this.control.handle(controlEffect);
		}
	}

}
