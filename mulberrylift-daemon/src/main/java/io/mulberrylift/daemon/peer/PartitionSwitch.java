package io.mulberrylift.daemon.peer;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import io.mulberrylift.core.model.InstanceId;

/**
 * A switch that cuts connections to other instances in both directions, for tests of
 * network partitions.
 *
 * <p>
 * Safe for use by several threads. Nothing is cut at the start.
 * </p>
 */
public final class PartitionSwitch {

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile Set<InstanceId> instances = Set.of();

	/**
	 * Cuts off instances and heals all others.
	 * @param cut the instances, empty to heal all
	 */
	public void setPartitioned(Set<InstanceId> cut) {
		this.instances = Set.copyOf(cut);
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Returns whether an instance is cut off.
	 * @param instance the instance
	 * @return true if so
	 */
	public boolean isPartitioned(InstanceId instance) {
		return this.instances.contains(instance);
	}

	void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

}
