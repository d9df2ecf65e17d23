package io.mulberrylift.daemon.loop;

import io.mulberrylift.core.effect.Effect;

/**
 * Executes effects of one type.
 *
 * @param <T> the type of effect
 */
@FunctionalInterface
public interface EffectHandler<T extends Effect> {

	/**
	 * Starts executing an effect. Called on the loop's thread; must not block. Results
	 * are submitted as events.
	 * @param effect the effect
	 */
	void handle(T effect);

}
