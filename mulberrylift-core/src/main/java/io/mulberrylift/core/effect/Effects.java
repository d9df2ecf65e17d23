package io.mulberrylift.core.effect;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the effects of one event, in order.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
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
	 * Appends a log line about a change of state.
	 * @param part the part that logs
	 * @param message the text
	 */
	public void info(ControlEffect.Part part, String message) {
		this.collected.add(new ControlEffect.Log(part, ControlEffect.Level.INFO, message));
	}

	/**
	 * Appends a log line about a problem that is being handled.
	 * @param part the part that logs
	 * @param message the text
	 */
	public void warn(ControlEffect.Part part, String message) {
		this.collected.add(new ControlEffect.Log(part, ControlEffect.Level.WARN, message));
	}

	/**
	 * Increments a counter by one.
	 * @param part the part to which the counter belongs
	 * @param name name of the counter
	 */
	public void count(ControlEffect.Part part, String name) {
		this.collected.add(new ControlEffect.Count(part, name, 1));
	}

	/**
	 * Returns the effects added since the last call and removes them from this collector.
	 * @return the effects in order, empty when there are none
	 */
	public List<Effect> drain() {
		if (this.collected.isEmpty()) {
			return List.of();
		}
		List<Effect> drained = this.collected;
		this.collected = new ArrayList<>();
		return drained;
	}

}
