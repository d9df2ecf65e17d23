package io.mulberrylift.core.effect;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the effects of one event in order.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer.
 * </p>
 */
public final class Effects {

	private List<Effect> collected = new ArrayList<>();

	/**
	 * Appends an effect.
	 * @param effect the effect, not null
	 */
	public void add(Effect effect) {
		this.collected.add(effect);
	}

	/**
	 * Appends a log line of a change of state.
	 * @param part the part that speaks
	 * @param message a short sentence
	 */
	public void info(ControlEffect.Part part, String message) {
		this.collected.add(new ControlEffect.Log(part, ControlEffect.Level.INFO, message));
	}

	/**
	 * Appends a log line of a handled fault.
	 * @param part the part that speaks
	 * @param message a short sentence
	 */
	public void warn(ControlEffect.Part part, String message) {
		this.collected.add(new ControlEffect.Log(part, ControlEffect.Level.WARN, message));
	}

	/**
	 * Counts one occurrence.
	 * @param part the part that counts
	 * @param name name of the counter
	 */
	public void count(ControlEffect.Part part, String name) {
		this.collected.add(new ControlEffect.Count(part, name, 1));
	}

	/**
	 * Returns all effects since the last call and starts anew.
	 * @return the effects in order, empty when there are none
	 */
	public List<Effect> drain() {
		if (this.collected.isEmpty()) {
			return List.of();
		}
		List<Effect> taken = this.collected;
		this.collected = new ArrayList<>();
		return taken;
	}

}
