package io.mulberrylift.daemon.instance;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.TypeLiteral;
import io.mulberrylift.core.Reducer;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.daemon.admin.ConfigurationSource;
import io.mulberrylift.daemon.admin.ReadinessSource;
import io.mulberrylift.daemon.admin.StateSource;
import io.mulberrylift.daemon.caller.HttpModule;
import io.mulberrylift.daemon.caller.RequestEffectHandler;
import io.mulberrylift.daemon.endpoint.AttemptCanceller;
import io.mulberrylift.daemon.endpoint.AttemptHandler;
import io.mulberrylift.daemon.endpoint.EndpointDirectory;
import io.mulberrylift.daemon.endpoint.EndpointHandler;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.loop.EffectRouter;
import io.mulberrylift.daemon.loop.EventLoop;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.loop.MomentClock;
import io.mulberrylift.daemon.outbound.HttpClientSettings;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.peer.Hello;
import io.mulberrylift.daemon.peer.PartitionSwitch;
import io.mulberrylift.daemon.peer.PeerDirectory;
import io.mulberrylift.daemon.peer.PeerLinkSettings;
import io.mulberrylift.daemon.peer.PeerLinks;
import io.mulberrylift.daemon.peer.PeerReceiver;
import io.mulberrylift.daemon.peer.PeerServer;
import io.mulberrylift.daemon.peer.PeerTransportContext;
import io.mulberrylift.daemon.platform.PlatformHandler;
import io.mulberrylift.daemon.platform.PlatformSettings;
import io.mulberrylift.daemon.platform.ReadBudget;
import io.mulberrylift.daemon.settings.InstanceSettings;
import io.mulberrylift.daemon.settings.PublishedConfigurationParser;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * Guice module that binds the components of one instance.
 */
final class InstanceModule extends AbstractModule {

	private static final int INCARNATION_RANDOM_BITS = 10;

	private static final double PLATFORM_READS_PER_SECOND = 4;

	private static final int PLATFORM_READ_BURST = 8;

	private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;

	private static final int PEER_THREADS = 1;

	private final InstanceSettings settings;

	InstanceModule(InstanceSettings settings) {
		this.settings = settings;
	}

	@Override
	protected void configure() {
		bind(InstanceSettings.class).toInstance(this.settings);
		bind(MomentClock.class).toInstance(new MomentClock());
		bind(EndpointDirectory.class).toInstance(new EndpointDirectory());
		bind(PeerDirectory.class).toInstance(new PeerDirectory());
		bind(EventSink.class).to(EventLoop.class);
		bind(new TypeLiteral<Supplier<Optional<FleetConfiguration>>>() {
		}).to(FleetStateHolder.class);
		bind(ReadinessSource.class).to(OperatorQueries.class);
		bind(StateSource.class).to(OperatorQueries.class);
		bind(ConfigurationSource.class).to(OperatorQueries.class);
		PartitionSwitch partition = new PartitionSwitch();
		bind(PartitionSwitch.class).toInstance(partition);
		install(this.settings.faultSwitches()
				? new HttpModule((environment) -> FaultServlet.register(environment, partition)) : new HttpModule());
	}

	@Provides
	@Singleton
	InstanceIdentity identity() {
		int random = new SecureRandom().nextInt(1 << INCARNATION_RANDOM_BITS);
		long incarnation = (System.currentTimeMillis() << INCARNATION_RANDOM_BITS) | random;
		return new InstanceIdentity(this.settings.instanceId(), this.settings.zone(), incarnation);
	}

	@Provides
	@Singleton
	ScheduledExecutorService timer() {
		return Executors.newScheduledThreadPool(1, (task) -> {
			Thread thread = new Thread(task, "mulberrylift-timer");
			thread.setDaemon(true);
			return thread;
		});
	}

	@Provides
	@Singleton
	FleetStateHolder fleetStateHolder(EndpointDirectory endpoints, PeerDirectory peers) {
		return new FleetStateHolder(endpoints, peers);
	}

	@Provides
	@Singleton
	EventLoop eventLoop(InstanceIdentity identity, MomentClock clock, FleetStateHolder fleetState) {
		return new EventLoop(new Reducer(identity, identity.incarnation()), clock, fleetState);
	}

	@Provides
	@Singleton
	OperatorQueries operatorQueries(EventLoop loop, FleetStateHolder fleetState) {
		return new OperatorQueries(loop, fleetState);
	}

	@Provides
	@Singleton
	ControlHandler controlHandler(MetricRegistry metrics) {
		return new ControlHandler(metrics);
	}

	@Provides
	@Singleton
	OutboundClients outboundClients() {
		return new OutboundClients(new OutboundHttpClient(HttpClientSettings.forRequests(this.settings.zone())),
				new OutboundHttpClient(HttpClientSettings.forControl(this.settings.zone())));
	}

	@Provides
	@Singleton
	AttemptCanceller attemptCanceller(EndpointDirectory directory, OutboundClients clients,
			ScheduledExecutorService timer, InstanceIdentity identity) {
		return new AttemptCanceller(directory, clients.control(), timer, new SplittableRandom(identity.incarnation()));
	}

	@Provides
	@Singleton
	PlatformHandler platformHandler(OutboundClients clients, MomentClock clock, EventLoop loop) {
		String address = URI.create(this.settings.platform().baseUrl()).getAuthority();
		PlatformSettings platform = new PlatformSettings(address, address, PLATFORM_TIMEOUT_MILLIS);
		ReadBudget budget = new ReadBudget(PLATFORM_READS_PER_SECOND, PLATFORM_READ_BURST, clock::monotonicMillis);
		return new PlatformHandler(platform, clients.control(), budget, PublishedConfigurationParser::check, loop);
	}

	@Provides
	@Singleton
	EventLoopGroup peerEventLoopGroup() {
		return new MultiThreadIoEventLoopGroup(PEER_THREADS, NioIoHandler.newFactory());
	}

	@Provides
	@Singleton
	PeerTransportContext peerTransportContext(InstanceIdentity identity, PeerDirectory directory,
			PartitionSwitch partition, EventLoopGroup eventLoopGroup) {
		return new PeerTransportContext(
				Hello.of(identity.id(), identity.incarnation(), identity.zone(),
						this.settings.peers().host() + ":" + this.settings.peers().port()),
				directory, partition, eventLoopGroup);
	}

	@Provides
	@Singleton
	PeerTlsContexts peerTlsContexts() throws IOException, GeneralSecurityException {
		return PeerTlsContexts.of(this.settings.peers().tls());
	}

	@Provides
	@Singleton
	PeerReceiver peerReceiver(EventLoop loop) {
		return new PeerReceiver(PublishedConfigurationParser::check, loop);
	}

	@Provides
	@Singleton
	PeerServer peerServer(PeerTransportContext transport, PeerReceiver receiver, PeerTlsContexts tls) {
		InetSocketAddress address = new InetSocketAddress(this.settings.peers().host(), this.settings.peers().port());
		return new PeerServer(address, transport, receiver, tls.server());
	}

	@Provides
	@Singleton
	PeerLinks peerLinks(PeerTransportContext transport, PeerReceiver receiver, MetricRegistry metrics,
			InstanceIdentity identity, PeerTlsContexts tls) {
		return new PeerLinks(transport, PeerLinkSettings.DEFAULTS, receiver, metrics,
				new SplittableRandom(identity.incarnation()), tls.client());
	}

	@Provides
	@Singleton
	EffectRouter effectRouter(RequestEffectHandler requests, ExchangeTable exchanges, InstanceIdentity identity,
			EndpointDirectory directory, OutboundClients clients, AttemptCanceller canceller, EventLoop loop,
			MomentClock clock, PlatformHandler platform, PeerLinks peers, ControlHandler control) {
		AttemptHandler attempts = new AttemptHandler(identity, directory, exchanges, clients.requests(), canceller,
				loop, loop, clock::monotonicMillis);
		return new EffectRouter(requests, attempts, new EndpointHandler(directory, clients.control(), loop), platform,
				peers, control);
	}

}
