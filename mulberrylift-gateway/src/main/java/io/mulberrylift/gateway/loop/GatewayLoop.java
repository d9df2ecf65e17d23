package io.mulberrylift.gateway.loop;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.mulberrylift.core.forwarding.AnswerOrigin;
import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.forwarding.ClientLimits;
import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.forwarding.ForwardRequest;
import io.mulberrylift.core.forwarding.ForwardingConfiguration;
import io.mulberrylift.core.forwarding.Gateway;
import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.core.forwarding.GatewayEvent;
import io.mulberrylift.core.forwarding.GatewayIdentity;
import io.mulberrylift.core.gossip.EvacuationKnowledge;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.Membership;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.ObservedLoad;
import io.mulberrylift.gateway.caller.BufferedRequest;
import io.mulberrylift.gateway.caller.CallerExchange;
import io.mulberrylift.gateway.caller.CallerListener;
import io.mulberrylift.gateway.caller.CallerProtocol;
import io.mulberrylift.gateway.caller.CallerServer;
import io.mulberrylift.gateway.caller.RequestHead;
import io.mulberrylift.gateway.endpoint.AttemptListener;
import io.mulberrylift.gateway.endpoint.EndpointPool;
import io.mulberrylift.gateway.endpoint.EndpointProtocol;
import io.mulberrylift.gateway.endpoint.ForwardedAnswer;
import io.mulberrylift.gateway.endpoint.MemoryReservationClient;
import io.mulberrylift.gateway.endpoint.SkippedAnswer;
import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.http.Page;
import io.mulberrylift.gateway.http.PageServer;
import io.mulberrylift.gateway.logging.EventLog;
import io.mulberrylift.gateway.peer.PeerLink;
import io.mulberrylift.gateway.pressure.Pressure;
import io.mulberrylift.gateway.relay.RelayCallerProtocol;
import io.mulberrylift.gateway.relay.RelayEndpointProtocol;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;

/**
 * Owns the event loop and the reducer: reports I/O to the reducer as events and executes
 * the effects that it returns.
 *
 * <p>
 * Everything runs on a single thread; only {@link #start}, {@link #shutDown} and
 * {@link #awaitTermination} may be called from other threads.
 * </p>
 */
public final class GatewayLoop implements CallerListener, AttemptListener, MemoryReservationClient.Listener {

	/** Path of the page from which peers read this instance's view of the platform. */
	public static final String SNAPSHOT_PATH = "/view";

	/**
	 * Interval at which timers are checked; a timeout fires at most this late.
	 */
	private static final long TICK_MILLIS = 20;

	/** The same while no request is in progress and the process does not stop. */
	private static final long IDLE_TICK_MILLIS = 100;

	/**
	 * Maximum time to close the connections of callers when the process ends, apart from
	 * those whose answers are being sent.
	 */
	private static final long MAX_CLOSING_MILLIS = 1200;

	/** Part of the shutdown timeout that is left to send the last answers. */
	private static final long LAST_ANSWER_MILLIS = 200;

	/** Interval at which the view of the fleet and of the platform is updated. */
	private static final long VIEW_INTERVAL_MILLIS = 100;

	private static final double MILLIS_PER_SECOND = 1000;

	private final EventLoopGroup group = new NioEventLoopGroup(1);

	private final GatewaySettings settings;

	private final CallerProtocol callerProtocol;

	private final EndpointProtocol endpointProtocol;

	private final PlatformView platform;

	private final EventLog log;

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final Pressure pressure = Pressure.create(GatewayLoop::nowMillis);

	private final Gateway gateway;

	private final Membership membership;

	private final EndpointPool endpointPool;

	private final MemoryReservationClient memoryReservationClient;

	private final Map<Long, ForwardedAnswer> answersByRequest = new HashMap<>();

	private final Map<Long, Long> arrivalMillisByRequest = new HashMap<>();

	private final AttemptTable attempts = new AttemptTable();

	/** Numbers the requests of callers and of peers. */
	private final AtomicLong exchangeIds = new AtomicLong();

	private final CountDownLatch terminated = new CountDownLatch(1);

	private GossipScheduler gossip;

	private PeerLink peerLink;

	private List<CallerServer> callerServers = List.of();

	private Future<?> nextTick;

	private boolean idleTick;

	private long closingMillis = Long.MAX_VALUE;

	private final StoreReadingUpdater storeReading;

	private long viewUpdateMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates a loop that is not started yet.
	 * @param settings settings of the process
	 * @param callerProtocol decodes callers' requests
	 * @param endpointProtocol encodes requests to endpoints and decodes their answers
	 * @param platform provides the configuration and the endpoints of the deployment
	 * @param log log of this instance
	 */
	public GatewayLoop(GatewaySettings settings, CallerProtocol callerProtocol, EndpointProtocol endpointProtocol,
			PlatformView platform, EventLog log) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.callerProtocol = Objects.requireNonNull(callerProtocol, "callerProtocol");
		this.endpointProtocol = Objects.requireNonNull(endpointProtocol, "endpointProtocol");
		this.platform = Objects.requireNonNull(platform, "platform");
		this.log = Objects.requireNonNull(log, "log");
		SplittableRandom random = new SplittableRandom(System.nanoTime() ^ settings.peersAddress().hashCode());
		this.gateway = new Gateway(settings.identity(), random);
		this.membership = new Membership(settings.peersAddress().toString(), settings.identity().zone(),
				random.split());
		this.membership.setSeeds(settings.seedAddresses());
		this.storeReading = new StoreReadingUpdater(this.membership, platform, log);
		this.endpointPool = new EndpointPool(this.group, endpointProtocol, this, GatewayLoop::nowMillis,
				settings.peersAddress().ephemeralSocketAddress(), this.pressure);
		this.memoryReservationClient = new MemoryReservationClient(this.group, endpointProtocol, log, this);
	}

	/**
	 * Returns the monotonic time of the process.
	 * @return milliseconds since an arbitrary origin
	 */
	public static long nowMillis() {
		return System.nanoTime() / 1_000_000;
	}

	/**
	 * Returns the event loop that everything runs on.
	 * @return a group of one thread
	 */
	public EventLoopGroup group() {
		return this.group;
	}

	/**
	 * Binds all addresses, starts to read the platform and to accept requests.
	 */
	public void start() {
		this.peerLink = new PeerLink(this.group, this.settings.peersAddress(), this::digestReceived, this.log);
		this.gossip = new GossipScheduler(this.settings, this.gateway, this.membership, this.peerLink,
				this.platform::revision, this.storeReading::knowledge);
		PageServer.listen(this.group, this.settings.readyAddress(), this::page);
		PageServer.listen(this.group, this.settings.peersAddress(), this::page);
		PageServer.listen(this.group, this.settings.metricsAddress(), this::page);
		CallerServer callers = new CallerServer(this.group, this.callerProtocol, this,
				this.exchangeIds::incrementAndGet);
		callers.listen(this.settings.callersAddress());
		CallerServer relays = new CallerServer(this.group, new RelayCallerProtocol(this.callerProtocol), this,
				this.exchangeIds::incrementAndGet);
		relays.listen(this.settings.relayAddress(), this::admitsRelay);
		this.callerServers = List.of(callers, relays);
		this.group.execute(() -> this.platform.start(this));
		this.group.execute(this::scheduleTick);
		this.log.write("started", "callers", this.settings.callersAddress(), "peers", this.settings.peersAddress(),
				"zone", this.settings.identity().zone());
	}

	private boolean admitsRelay(String host) {
		boolean admitted = this.membership.isMemberHost(host);
		if (!admitted) {
			this.log.write("relay-connection-rejected", "host", host, "problem", "not the host of a known peer");
		}
		return admitted;
	}

	/**
	 * Starts an orderly shutdown: requests in progress are completed within the shutdown
	 * timeout, and refused if that is not possible.
	 */
	public void shutDown() {
		this.group.execute(() -> {
			run(new GatewayEvent.ShutdownRequested(
					Math.max(0, this.settings.shutdownTimeoutMillis() - LAST_ANSWER_MILLIS)));
			endIdleness();
			this.group.schedule(this.terminated::countDown, this.settings.shutdownTimeoutMillis(),
					TimeUnit.MILLISECONDS);
		});
	}

	/**
	 * Waits until the shutdown has completed or its timeout has passed.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitTermination() throws InterruptedException {
		this.terminated.await();
		this.log.write("stopped", "requests", this.gateway.inProgress());
	}

	/**
	 * Applies the seeds and limits of settings that were read again. Addresses, name and
	 * zone stay as they were at the start.
	 * @param reloaded the settings
	 */
	public void applySettings(GatewaySettings reloaded) {
		this.membership.setSeeds(reloaded.seedAddresses());
		GatewayIdentity limits = reloaded.identity();
		GatewayIdentity self = this.settings.identity();
		run(new GatewayEvent.LimitsRead(new GatewayIdentity(self.name(), self.zone(), limits.retryBounds(),
				limits.drainGraceMillis(), limits.memoryFreeMillis(), limits.terms())));
	}

	/**
	 * Applies a configuration that was read from the platform.
	 * @param configuration the configuration
	 */
	public void applyConfiguration(ForwardingConfiguration configuration) {
		run(new GatewayEvent.ConfigurationRead(configuration));
		this.gossip.requestFullState();
	}

	/**
	 * Replaces the endpoints.
	 * @param listed all endpoints that the platform lists
	 */
	public void applyEndpoints(List<ForwardEndpoint> listed) {
		run(new GatewayEvent.EndpointsRead(listed));
		this.gossip.requestFullState();
	}

	/**
	 * Applies the requests of operators to evacuate availability zones.
	 * @param knowledge the evacuated zones as of a revision of the platform's store
	 */
	public void applyEvacuations(EvacuationKnowledge knowledge) {
		run(new GatewayEvent.EvacuationsRead(knowledge));
	}

	/**
	 * Counts a call of the platform's store.
	 * @param subject what the call reads
	 */
	public void countStoreCall(String subject) {
		this.metrics.count("store_calls_" + subject);
	}

	private void digestReceived(InstanceDigest digest) {
		if (!digest.crashes().isEmpty()) {
			run(new GatewayEvent.CrashesReported(digest.sender(), digest.crashes()));
		}
		if (this.membership.receive(digest, nowMillis())) {
			run(new GatewayEvent.DigestReceived(digest));
		}
	}

	@Override
	public void reservationAnswered(long requestId, EndpointId endpoint, Optional<Boolean> granted) {
		run(new GatewayEvent.ReservationAnswered(requestId, endpoint, granted));
	}

	private void scheduleTick() {
		boolean idle = this.gateway.inProgress() == 0 && !this.gateway.isShuttingDown();
		this.idleTick = idle;
		this.nextTick = this.group.schedule(this::tick, (idle) ? IDLE_TICK_MILLIS : TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/** Makes the next tick come as soon as for requests in progress. */
	private void endIdleness() {
		if (this.idleTick) {
			this.nextTick.cancel(false);
			scheduleTick();
		}
	}

	private void tick() {
		try {
			long now = nowMillis();
			if (now - this.viewUpdateMillis >= VIEW_INTERVAL_MILLIS) {
				this.viewUpdateMillis = now;
				updateViews(now);
			}
			run(new GatewayEvent.Tick());
			this.gossip.tick(now);
			if (this.gateway.mayExit(now)) {
				closeConnections(now);
			}
		}
		catch (RuntimeException | Error ex) {
			// An error must not end the timer.
			unexpected("tick-failed", "", ex);
		}
		finally {
			scheduleTick();
		}
	}

	private void unexpected(String event, String subject, Throwable problem) {
		this.metrics.count("unexpected_errors");
		this.log.write(event, "subject", subject, "problem", String.valueOf(problem));
	}

	/**
	 * Ends an orderly shutdown: closes the connections of callers before the process
	 * ends, so that no request is written to a connection that nobody reads.
	 * @param now the current time
	 */
	private void closeConnections(long now) {
		if (this.closingMillis == Long.MAX_VALUE) {
			this.closingMillis = now;
			this.log.write("closing-connections", "open", openCallerConnections());
			this.callerServers.forEach(CallerServer::stopAccepting);
			return;
		}
		// A caller whose connection is closed may connect again at once, so the listening
		// sockets are closed first.
		boolean listening = false;
		for (CallerServer server : this.callerServers) {
			listening |= !server.stopListening();
		}
		if (listening) {
			return;
		}
		this.callerServers.forEach(CallerServer::closeConnections);
		boolean busy = this.callerServers.stream().anyMatch((server) -> server.busyConnections() > 0);
		if (openCallerConnections() == 0 || (!busy && now - this.closingMillis >= MAX_CLOSING_MILLIS)) {
			this.terminated.countDown();
		}
	}

	private int openCallerConnections() {
		return this.callerServers.stream().mapToInt(CallerServer::openConnections).sum();
	}

	private void updateViews(long now) {
		this.pressure.waiting()
			.pollReports()
			.forEach((each) -> this.log.write("connection-waits", "reason", each.reason(), "id", each.id(),
					"age-millis", each.ageMillis(), "waiting", this.pressure.waiting().count(), "held-bytes",
					this.pressure.held().bytes()));
		this.gateway.setLiveInstances(this.membership.liveInstances(now));
		this.gateway.setPartialView(this.membership.isPartial());
		this.gateway.setFleet(this.membership.view(now), now);
		this.gateway.setRelayPeers(this.membership.relayPeers(now));
		if (this.storeReading.update(this.gateway.configurationVersion(), now)) {
			this.gossip.requestFullState();
		}
		this.platform.updateNewestConfiguration(this.membership.newestConfigurationVersion(now));
		this.platform.updatePeersAhead(this.membership.aheadOf(this.gateway.configurationVersion(),
				this.platform.revisionReadFromPeers(), now));
	}

	private void run(GatewayEvent event) {
		for (GatewayEffect effect : this.gateway.reduce(event, nowMillis())) {
			try {
				execute(effect);
			}
			catch (RuntimeException | Error ex) {
				// The other effects concern other requests.
				unexpected("effect-failed", effect.getClass().getSimpleName(), ex);
			}
		}
	}

	private void execute(GatewayEffect effect) {
		if (effect instanceof GatewayEffect.Log line) {
			this.log.write(line.event(), line.fields());
		}
		else if (effect instanceof GatewayEffect.Send send) {
			send(send);
		}
		else if (effect instanceof GatewayEffect.Relay relay) {
			relay(relay);
		}
		else if (effect instanceof GatewayEffect.ProbeEndpoint probe) {
			this.endpointPool.probe(probe.endpoint());
		}
		else if (effect instanceof GatewayEffect.Deliver deliver) {
			removeRequest(deliver.requestId()).ifPresent(ForwardedAnswer::deliver);
		}
		else if (effect instanceof GatewayEffect.Refuse refuse) {
			refuse(refuse);
		}
		else if (effect instanceof GatewayEffect.AbortAnswer abort) {
			removeRequest(abort.requestId()).ifPresent((answer) -> {
				answer.discard();
				answer.exchange().abort();
			});
			this.metrics.count("answers_broken_off");
		}
		else if (effect instanceof GatewayEffect.CancelAttempt cancel) {
			this.endpointPool.cancel(cancel.attemptId());
			this.attempts.remove(cancel.attemptId());
		}
		else if (effect instanceof GatewayEffect.DiscardConnections discard) {
			this.endpointPool.closeIdle(discard.endpoint());
		}
		else if (effect instanceof GatewayEffect.PublishState) {
			this.gossip.requestFullState();
		}
		else if (effect instanceof GatewayEffect.ReserveMemory reserve) {
			this.memoryReservationClient.reserve(reserve);
		}
		else if (effect instanceof GatewayEffect.ReleaseMemory release) {
			this.memoryReservationClient.release(release);
		}
	}

	private void send(GatewayEffect.Send send) {
		ForwardedAnswer answer = this.answersByRequest.get(send.requestId());
		this.attempts.add(send.attemptId(), send.requestId());
		if (rejects(send.requestId(), send.attemptId(),
				answer.resumptionProblem().or(() -> this.endpointProtocol.exceededLimit(send)))) {
			return;
		}
		this.metrics.count("sends");
		this.endpointPool.send(send, answer);
		this.gossip.requestPlaced(nowMillis());
	}

	private boolean rejects(long requestId, long attemptId, Optional<String> problem) {
		if (problem.isEmpty()) {
			return false;
		}
		this.log.write("send-rejected", "request", requestId, "attempt", attemptId, "problem", problem.get());
		attemptEnded(attemptId, AttemptOutcome.REJECTED, 0, AnswerOrigin.NONE);
		return true;
	}

	private void relay(GatewayEffect.Relay relay) {
		ForwardedAnswer answer = this.answersByRequest.get(relay.requestId());
		this.attempts.add(relay.attemptId(), relay.requestId());
		if (rejects(relay.requestId(), relay.attemptId(), answer.resumptionProblem())) {
			return;
		}
		this.metrics.count("relays");
		NetAddress address = GatewaySettings.relayAddress(NetAddress.parse(relay.peer()));
		ForwardEndpoint peer = new ForwardEndpoint(new EndpointId("peer-" + relay.peer()), "", address.host(),
				address.port(), "", 1, false, 0);
		this.endpointPool.send(
				new GatewayEffect.Send(relay.requestId(), relay.attemptId(), peer, List.of(), relay.timeLeftMillis(), 0,
						relay.kind(), Optional.empty()),
				answer, new RelayEndpointProtocol(this.endpointProtocol, relay.terms()));
	}

	private Optional<ForwardedAnswer> removeRequest(long requestId) {
		Long arrived = this.arrivalMillisByRequest.remove(requestId);
		if (arrived != null) {
			this.metrics.recordCompleteAnswer(nowMillis() - arrived);
		}
		this.attempts.removeRequest(requestId);
		return Optional.ofNullable(this.answersByRequest.remove(requestId));
	}

	private void refuse(GatewayEffect.Refuse refuse) {
		this.metrics.countRefusal(refuse.cause());
		removeRequest(refuse.requestId()).ifPresent((answer) -> {
			answer.discard();
			HttpHeaders headers = new DefaultHttpHeaders();
			headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
			refuse.retryAfterMillis()
				.ifPresent((millis) -> headers.set(HttpHeaderNames.RETRY_AFTER,
						String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND)));
			if (refuse.cause().status() == 401) {
				headers.set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
			}
			if (answer.exchange().request().head().relayTerms().isPresent()) {
				RelayEndpointProtocol.markRefusal(headers, refuse.cause());
			}
			String type = refuse.cause().name().toLowerCase(Locale.ROOT).replace('_', '-');
			String body = "{\"title\":\"" + type + "\",\"status\":" + refuse.cause().status() + "}\n";
			answer.exchange().answer(refuse.cause().status(), headers, body.getBytes(StandardCharsets.UTF_8));
		});
	}

	@Override
	public void requestReceived(CallerExchange exchange) {
		BufferedRequest request = exchange.request();
		RequestHead head = request.head();
		this.metrics.count("requests");
		this.answersByRequest.put(exchange.id(), new ForwardedAnswer(exchange));
		this.arrivalMillisByRequest.put(exchange.id(), nowMillis());
		Optional<String> workspace = this.gateway.configuration()
			.flatMap((configuration) -> head.apiKey().map(configuration.workspacesByKey()::get));
		run(new GatewayEvent.RequestArrived(exchange.id(),
				new ForwardRequest(head.attemptId(), head.host(), head.path(), head.apiKey(), head.deadlineMillis(),
						head.promptTokens(), head.maxOutputTokens(), Fingerprint.of(request, workspace),
						head.promptParts().stream().map(Fingerprint::ofPromptPart).toList(), head.relayTerms())));
		endIdleness();
	}

	@Override
	public void callerDisconnected(CallerExchange exchange) {
		this.metrics.count("callers_gone");
		run(new GatewayEvent.CallerDisconnected(exchange.id()));
		List<Long> abandoned = this.attempts.ofRequest(exchange.id());
		removeRequest(exchange.id()).ifPresent(ForwardedAnswer::discard);
		// Nothing waits for the answer, but an endpoint that never ends it must not be
		// waited for either.
		abandoned.forEach((attempt) -> this.group.schedule(() -> this.endpointPool.cancel(attempt),
				exchange.request().head().deadlineMillis(), TimeUnit.MILLISECONDS));
	}

	@Override
	public void answerNotRead(CallerExchange exchange) {
		this.metrics.count("answers_not_read");
		this.log.write("answer-not-read", "request", exchange.id(), "caller-attempt",
				exchange.request().head().attemptId(), "held-bytes", this.pressure.held().bytes());
	}

	@Override
	public void becameWritable(CallerExchange exchange) {
		this.attempts.ofRequest(exchange.id()).forEach(this.endpointPool::resume);
	}

	@Override
	public void requestRejected(int status, String reason) {
		String event = (status == 503) ? "body-rejected" : "malformed";
		this.metrics.count(event.replace('-', '_'));
		this.log.write(event, "status", status, "reason", reason, "held-bytes", this.pressure.held().bytes());
	}

	@Override
	public Pressure pressure() {
		return this.pressure;
	}

	@Override
	public ClientLimits limits() {
		return this.gateway.configuration().map(ForwardingConfiguration::limits).orElse(ClientLimits.DEFAULT);
	}

	@Override
	public boolean isClosing() {
		return this.gateway.isShuttingDown();
	}

	@Override
	public void chunkReceived(long attemptId) {
		run(new GatewayEvent.AnswerChunk(attemptId));
	}

	@Override
	public void resumptionAnswered(long attemptId, Optional<String> afterEvent, int status,
			Optional<String> contentType) {
		this.log.write("resumption-answered", "request", this.attempts.requestOf(attemptId).orElse(-1L), "attempt",
				attemptId, "after-event", EventLog.abbreviated(afterEvent), "status", status, "content-type",
				EventLog.abbreviated(contentType));
	}

	@Override
	public void readingPaused(long attemptId, boolean paused) {
		run(new GatewayEvent.ReadingPaused(attemptId, paused));
	}

	@Override
	public void attemptEnded(long attemptId, AttemptOutcome outcome, int status, AnswerOrigin origin) {
		this.metrics.countAttempt(outcome);
		this.endpointPool.removeAttempt(attemptId);
		run(new GatewayEvent.AttemptEnded(attemptId, outcome, status, origin));
		this.attempts.remove(attemptId);
	}

	@Override
	public void answerSkipped(SkippedAnswer answer) {
		this.metrics.count("answers_skipped");
		this.log.write("answer-skipped", "endpoint", answer.endpoint(), "connection", answer.connection(),
				"requests-on-connection", answer.requestsOnConnection(), "attempt", answer.attempt().orElse(0L),
				"status", answer.status(), "caller-attempt", EventLog.abbreviated(answer.namedRequest()), "receipt",
				EventLog.abbreviated(answer.receipt()));
	}

	@Override
	public void connectionEstablished(EndpointId endpoint) {
		run(new GatewayEvent.ConnectionEstablished(endpoint));
	}

	@Override
	public void faultReported(String name) {
		run(new GatewayEvent.EndpointFaultReported(name));
	}

	@Override
	public void loadReported(EndpointId endpoint, ObservedLoad load) {
		run(new GatewayEvent.LoadObserved(endpoint, load));
	}

	@Override
	public void noticesReceived(EndpointId engine, EndpointNotices notices) {
		noticesReceived(engine, 0, notices);
	}

	@Override
	public void noticesReceived(EndpointId endpoint, long attemptId, EndpointNotices notices) {
		run(new GatewayEvent.NoticesReceived(endpoint, attemptId, notices));
	}

	private String zoneMetrics() {
		Map<String, Integer> evacuated = this.gateway.evacuatedZones();
		return "mulberrylift_evacuated_zones " + evacuated.size() + "\nmulberrylift_requests_in_evacuated_zones "
				+ evacuated.values().stream().mapToInt(Integer::intValue).sum() + "\nmulberrylift_cold_endpoints "
				+ this.gateway.coldEndpoints() + "\n";
	}

	private String roomMetrics() {
		StringBuilder text = new StringBuilder();
		this.gateway.engineRoom()
			.forEach((name, count) -> text.append("mulberrylift_").append(name).append(' ').append(count).append('\n'));
		return text.toString();
	}

	private Page page(String path, String query) {
		return switch (path) {
			case "/ready" -> Page.text((this.gateway.isReady()) ? 200 : 503, this.gateway.isReady() + "\n");
			case "/state" -> Page.text(200, this.gateway.describe(nowMillis()) + "\n");
			case "/metrics" -> Page.text(200, this.metrics.text() + "mulberrylift_connections_opened "
					+ this.endpointPool.openedConnections() + "\nmulberrylift_peer_bytes " + this.peerLink.sentBytes()
					+ "\nmulberrylift_limited_endpoints " + this.gateway.requestLimits().size()
					+ "\nmulberrylift_isolated_requests " + this.gateway.isolatedAttributes(nowMillis())
					+ "\nmulberrylift_held_bytes " + this.pressure.held().bytes() + "\nmulberrylift_held_bytes_max "
					+ this.pressure.held().maxBytes() + "\nmulberrylift_bodies_not_held "
					+ this.pressure.held().rejected() + "\nmulberrylift_waiting_connections "
					+ this.pressure.waiting().count() + "\nmulberrylift_cost_estimates " + this.gateway.costs().size()
					+ "\nmulberrylift_cost_median_error " + this.gateway.costs().medianErrorFactor() + "\n"
					+ zoneMetrics() + roomMetrics());
			case SNAPSHOT_PATH -> new Page(200, "application/json", this.platform.snapshot(query));
			default -> Page.NOT_FOUND;
		};
	}

}
