package io.mulberrylift.testkit.engine;

import java.util.Set;
import java.util.TreeSet;

/**
 * Executes orders and keeps the resulting models, adapters and role of an engine. Models
 * are listed as {@code name@version}, adapters by name.
 *
 * <p>
 * Invariants: only one version of a model is loaded at a time; if fencing numbers are
 * checked, orders are executed in non-decreasing order of fencing number. Thread-safe.
 * </p>
 */
final class OrderExecutor {

	private static final String VERSION_SEPARATOR = "@";

	private final boolean checksFencing;

	private final Set<String> models = new TreeSet<>();

	private String role = "mixed";

	private long highestFencingNumber;

	OrderExecutor(Set<String> models, boolean checksFencing) {
		this.models.addAll(models);
		this.checksFencing = checksFencing;
	}

	synchronized EngineMessages.OrderAnswer execute(EngineMessages.OrderBody order) {
		if (this.checksFencing && order.fencingNumber() < this.highestFencingNumber) {
			return new EngineMessages.OrderAnswer(false, this.highestFencingNumber);
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber());
		if (order.kind() == EngineMessages.OrderKind.CHANGE_ROLE) {
			this.role = order.subject();
		}
		else if (order.kind() == EngineMessages.OrderKind.LOAD_MODEL) {
			this.models.removeIf((loaded) -> isVersionOf(loaded, order.subject()));
			this.models.add(order.subject() + VERSION_SEPARATOR + order.version());
		}
		else {
			this.models.add(order.subject());
		}
		return new EngineMessages.OrderAnswer(true, this.highestFencingNumber);
	}

	synchronized EngineMessages.OrderState state() {
		return new EngineMessages.OrderState(Set.copyOf(this.models), this.role);
	}

	synchronized boolean serves(String model) {
		return this.models.stream().anyMatch((loaded) -> isVersionOf(loaded, model));
	}

	private static boolean isVersionOf(String loaded, String model) {
		return loaded.equals(model) || loaded.startsWith(model + VERSION_SEPARATOR);
	}

}
