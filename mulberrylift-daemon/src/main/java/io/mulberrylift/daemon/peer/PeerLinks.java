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
 * Safe for use by several threads; never blocks. A message to this instance is delivered
 * locally. A message to an instance without a known address is dropped.
 * </p>
 */
public final class PeerLinks implements EffectHandler<PeerEffect>, AutoCloseable {

	private final PeerLinkContext context;

	private final PeerReceiver receiver;

	private final ConcurrentMap<InstanceId, PeerLink> links = new ConcurrentHashMap<>();

	/**
	 * Creates the handler.
	 * @param transport context shared by the connections to other instances
	 * @param settings settings of the connections
	 * @param receiver receives messages to this instance
	 * @param metrics registry of the metrics
	 * @param random source of jitter
	 * @param tls the TLS settings, empty for plain TCP
	 */
	public PeerLinks(PeerTransportContext transport, PeerLinkSettings settings, PeerReceiver receiver,
			MetricRegistry metrics, RandomGenerator random, Optional<SslContext> tls) {
		this.context = new PeerLinkContext(transport, settings, new PeerMetrics(metrics), random, tls);
		this.receiver = receiver;
		transport.directory().addListener(this::closeUnlisted);
		transport.partition().addListener(() -> this.links.values().forEach(PeerLink::closeIfPartitioned));
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
	 * Returns the number of instances with a connection whose handshake is complete.
	 * @return the number of connections
	 */
	public int connectedPeers() {
		return (int) this.links.values().stream().filter(PeerLink::isReady).count();
	}

	/**
	 * Simulates a network partition: blocks connections to and from the given instances
	 * and allows them for all others.
	 * @param instances the instances
	 */
	public void partitionFrom(Set<InstanceId> instances) {
		this.context.transport().partition().setPartitioned(instances);
	}

	/**
	 * Ends the simulated network partition.
	 */
	public void healPartition() {
		this.context.transport().partition().setPartitioned(Set.of());
	}

	@Override
	public void close() {
		this.links.values().forEach(PeerLink::close);
	}

}
