package io.mulberrylift.daemon.peer;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.daemon.loop.EffectHandler;
import io.netty.handler.ssl.SslContext;

/**
 * Sends messages to other instances.
 *
 * <p>
 * Safe for use by several threads; never blocks. A message to this process itself is
 * received at once. A message to an instance without a known address is dropped.
 * </p>
 */
public final class PeerLinks implements EffectHandler<PeerEffect>, AutoCloseable {

	private final PeerLinkContext context;

	private final PeerReceiver receiver;

	private final ConcurrentMap<InstanceId, PeerLink> links = new ConcurrentHashMap<>();

	/**
	 * Creates the handler.
	 * @param shared what the connections to other instances share
	 * @param settings settings of the connections
	 * @param receiver takes messages to this process itself
	 * @param metrics registers what is counted
	 * @param random source of jitter
	 * @param tls the TLS settings, empty for plain TCP
	 */
	public PeerLinks(PeerTransportContext shared, PeerLinkSettings settings, PeerReceiver receiver,
			MetricRegistry metrics, RandomGenerator random, Optional<SslContext> tls) {
		this.context = new PeerLinkContext(shared, settings, new PeerMetrics(metrics), random, tls);
		this.receiver = receiver;
		shared.directory().addListener(this::closeUnlisted);
		shared.partition().addListener(() -> this.links.values().forEach(PeerLink::closeIfPartitioned));
	}

	@Override
	public void handle(PeerEffect effect) {
		if (effect instanceof PeerEffect.Send send) {
			send(send);
		}
	}

	private void send(PeerEffect.Send send) {
		Hello self = this.context.transport().ownHello();
		if (send.to().equals(self.instance())) {
			this.receiver.receive(self.instance(), self.incarnation(), send.message());
		}
		else if (this.context.transport().directory().find(send.to()).isPresent()) {
			this.links.computeIfAbsent(send.to(), (peer) -> new PeerLink(peer, this.context)).send(send.message());
		}
		else {
			this.context.metrics().dropped(1);
		}
	}

	private void closeUnlisted() {
		this.links.forEach((peer, link) -> {
			if (this.context.transport().directory().find(peer).isEmpty() && this.links.remove(peer, link)) {
				link.close();
			}
		});
	}

	/**
	 * Returns to how many instances a greeted connection exists.
	 * @return the number of connections
	 */
	public int connectedPeers() {
		return (int) this.links.values().stream().filter(PeerLink::isReady).count();
	}

	/**
	 * Cuts off instances in both directions and heals all others.
	 * @param instances the instances
	 */
	public void partitionFrom(Set<InstanceId> instances) {
		this.context.transport().partition().setPartitioned(instances);
	}

	/**
	 * Heals all cuts.
	 */
	public void healPartition() {
		this.context.transport().partition().setPartitioned(Set.of());
	}

	@Override
	public void close() {
		this.links.values().forEach(PeerLink::close);
	}

}
