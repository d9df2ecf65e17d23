package io.mulberrylift.testkit.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Simulates network faults of a stand-in: partitioned availability zones,
 * unresponsiveness and unavailability.
 *
 * <p>
 * Invariant: while the stand-in hangs, no request is routed; requests received in the
 * meantime are routed in arrival order when it resumes. Requests to {@code /control} are
 * never affected. Thread-safe.
 * </p>
 */
public final class NetworkFaults {

	private final Set<Exchange> active = ConcurrentHashMap.newKeySet();

	private final List<Runnable> deferred = new ArrayList<>();

	private Set<String> partitionedZones = Set.of();

	private boolean hanging;

	private boolean down;

	/**
	 * Partitions the given availability zones and reconnects all others. Connections with
	 * active requests from a partitioned zone are closed.
	 * @param zones the zones to partition, empty for none
	 */
	public void setPartitionedZones(Set<String> zones) {
		synchronized (this) {
			this.partitionedZones = Set.copyOf(zones);
		}
		closeBlocked();
	}

	/**
	 * Closes the connections of active and new requests, or serves requests again.
	 * @param on whether the stand-in is down
	 */
	public void setDown(boolean on) {
		synchronized (this) {
			this.down = on;
		}
		closeBlocked();
	}

	/**
	 * Defers requests without responding, or resumes and routes the deferred requests.
	 * @param on whether the stand-in hangs
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
