package io.mulberrylift.daemon.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;

/**
 * Resolves the addresses on which other instances listen.
 *
 * <p>
 * Safe for use by several threads. An address from the instance list takes precedence
 * over the one that an instance declared in its handshake. The latter allows replies to
 * an instance that is not listed yet.
 * </p>
 */
public final class PeerDirectory {

	private final ConcurrentMap<InstanceId, String> connected = new ConcurrentHashMap<>();

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile Map<InstanceId, String> published = Map.of();

	/**
	 * Replaces the published addresses by those of a list.
	 * @param list the list
	 */
	public void update(FleetList list) {
		this.published = list.instances()
			.stream()
			.collect(Collectors.toUnmodifiableMap(InstanceDescription::id, InstanceDescription::address,
					(first, second) -> second));
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Returns the address on which an instance listens.
	 * @param instance the instance
	 * @return host and port, empty when it is not known
	 */
	public Optional<String> find(InstanceId instance) {
		String address = this.published.get(instance);
		return Optional.ofNullable((address != null) ? address : this.connected.get(instance));
	}

	void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	void connected(InstanceId instance, String address) {
		this.connected.put(instance, address);
	}

	void disconnected(InstanceId instance, String address) {
		this.connected.remove(instance, address);
	}

}
