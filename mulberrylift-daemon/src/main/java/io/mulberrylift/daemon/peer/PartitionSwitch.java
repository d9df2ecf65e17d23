package io.mulberrylift.daemon.peer;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import io.mulberrylift.core.model.InstanceId;

/**
 * Fault switch that blocks connections to and from selected instances, for tests of
 * network partitions.
 *
 * <p>
 * Safe for use by several threads. Initially no instance is partitioned.
 * </p>
 */
public final class PartitionSwitch {

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile Set<InstanceId> partitioned = Set.of();

	/**
	 * Blocks connections to and from the given instances and allows them for all others.
	 * @param instances the instances to block, empty to end the partition
	 */
	public void setPartitioned(Set<InstanceId> instances) {
		this.partitioned = Set.copyOf(instances);
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Returns whether connections to and from an instance are blocked.
	 * @param instance the instance
	 * @return true if they are blocked
	 */
	public boolean isPartitioned(InstanceId instance) {
		return this.partitioned.contains(instance);
	}

	void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

}
