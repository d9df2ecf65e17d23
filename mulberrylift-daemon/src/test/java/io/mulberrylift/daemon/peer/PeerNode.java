package io.mulberrylift.daemon.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.daemon.outbound.RecordingEventSink;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;

/**
 * Peer server and links of one instance, for tests.
 */
final class PeerNode implements AutoCloseable {

	private static final ZoneId ZONE = new ZoneId("z1");

	private static final long SEED = 11;

	final InstanceId id;

	final RecordingEventSink events = new RecordingEventSink();

	final PeerDirectory directory = new PeerDirectory();

	final PartitionSwitch partition = new PartitionSwitch();

	final MetricRegistry metrics = new MetricRegistry();

	final PeerServer server;

	final PeerLinks links;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final PeerReceiver receiver = new PeerReceiver(
			(document) -> new ConfigurationCheck.Rejected(document, List.of()), this.events);

	PeerNode(String id) {
		this(id, Optional.empty(), Optional.empty());
	}

	PeerNode(String id, Optional<SslContext> serverTls, Optional<SslContext> clientTls) {
		this.id = new InstanceId(id);
		PeerTransportContext listeningContext = transportContext("127.0.0.1:1");
		this.server = new PeerServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), listeningContext,
				this.receiver, serverTls);
		this.links = new PeerLinks(transportContext(address()), new PeerLinkSettings(1_000, 10, 50, 2_500, 64 * 1_024),
				this.receiver, this.metrics, new Random(SEED), clientTls);
	}

	private PeerTransportContext transportContext(String address) {
		return new PeerTransportContext(Hello.of(this.id, 42, ZONE, address), this.directory, this.partition,
				this.group);
	}

	String address() {
		return "127.0.0.1:" + this.server.port();
	}

	void updateDirectory(PeerNode... nodes) {
		this.directory.update(new FleetList(1, 0,
				List.of(nodes)
					.stream()
					.map((node) -> new InstanceDescription(node.id, ZONE, node.address(), false, 0))
					.toList(),
				List.of()));
	}

	void send(PeerNode to, PeerMessage message) {
		this.links.handle(new PeerEffect.Send(to.id, message));
	}

	@Override
	public void close() {
		this.links.close();
		this.server.close();
		this.group.shutdownGracefully();
	}

}
