package io.mulberrylift.testkit.engine;

import java.util.Set;
import java.util.TreeSet;

/**
 * What an engine serves by the orders that it obeyed.
 *
 * <p>
 * Invariant: when orders are checked, the highest fencing number never goes down. Safe
 * for use by several threads.
 * </p>
 */
final class OrderBook {

	private final boolean checksFencing;

	private final Set<String> models = new TreeSet<>();

	private String role = "mixed";

	private long highestFencingNumber;

	OrderBook(Set<String> models, boolean checksFencing) {
		this.models.addAll(models);
		this.checksFencing = checksFencing;
	}

	synchronized EngineMessages.OrderAnswer obey(EngineMessages.OrderBody order) {
		if (this.checksFencing && order.fencingNumber() < this.highestFencingNumber) {
			return new EngineMessages.OrderAnswer(false, this.highestFencingNumber);
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber());
		if (order.kind() == EngineMessages.OrderKind.CHANGE_ROLE) {
			this.role = order.subject();
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
		return this.models.contains(model);
	}

}
