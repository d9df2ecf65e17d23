package io.mulberrylift.daemon.loop;

import io.mulberrylift.core.effect.Effect;

/**
 * Carries out one kind of effects.
 *
 * @param <T> the kind
 */
@FunctionalInterface
public interface EffectHandler<T extends Effect> {

	/**
	 * Starts to carry out an effect. Called on the loop's thread; must not block. Results
	 * are submitted as events.
	 * @param effect the effect
	 */
	void handle(T effect);

}
