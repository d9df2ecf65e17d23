package io.mulberrylift.testkit.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Network faults of a stand-in: cut availability zones, hanging and being down.
 *
 * <p>
 * Invariant: while the gate hangs, no request passes; those that came pass in their order
 * when it ends. Requests to {@code /control} are never affected. Safe for use by several
 * threads.
 * </p>
 */
public final class NetworkFaults {

	private final Set<Exchange> active = ConcurrentHashMap.newKeySet();

	private final List<Runnable> deferred = new ArrayList<>();

	private Set<String> partitionedZones = Set.of();

	private boolean hanging;

	private boolean down;

	/**
	 * Cuts the given availability zones off and heals all others. Open connections from a
	 * cut zone are closed.
	 * @param zones the zones, empty for none
	 */
	public void setPartitionedZones(Set<String> zones) {
		synchronized (this) {
			this.partitionedZones = Set.copyOf(zones);
		}
		closeBlocked();
	}

	/**
	 * Closes all connections, or accepts them again.
	 * @param on whether to close them
	 */
	public void setDown(boolean on) {
		synchronized (this) {
			this.down = on;
		}
		closeBlocked();
	}

	/**
	 * Accepts connections without answering, or answers what came meanwhile.
	 * @param on whether to hang
	 */
	public void setHanging(boolean on) {
		List<Runnable> released = new ArrayList<>();
		synchronized (this) {
			this.hanging = on;
			if (!on) {
				released.addAll(this.deferred);
				this.deferred.clear();
			}
		}
		released.forEach(Runnable::run);
	}

	/**
	 * Returns whether the gate hangs.
	 * @return whether it hangs
	 */
	public synchronized boolean isHanging() {
		return this.hanging;
	}

	void dispatch(Exchange exchange, Runnable route) {
		this.active.add(exchange);
		exchange.addCompletionListener(() -> this.active.remove(exchange));
		boolean blocked;
		synchronized (this) {
			blocked = isBlocked(exchange);
			if (!blocked && this.hanging) {
				this.deferred.add(route);
				return;
			}
		}
		if (blocked) {
			exchange.close();
		}
		else {
			route.run();
		}
	}

	private void closeBlocked() {
		Set<Exchange> blocked = new HashSet<>();
		synchronized (this) {
			this.active.stream().filter(this::isBlocked).forEach(blocked::add);
		}
		blocked.forEach(Exchange::close);
	}

	private boolean isBlocked(Exchange exchange) {
		return this.down || exchange.header(Exchange.FROM_ZONE).filter(this.partitionedZones::contains).isPresent();
	}

}
