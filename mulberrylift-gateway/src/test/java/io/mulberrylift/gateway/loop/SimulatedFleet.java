package io.mulberrylift.gateway.loop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.forwarding.ClientLimits;
import io.mulberrylift.core.forwarding.ColdStart;
import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.forwarding.ForwardRequest;
import io.mulberrylift.core.forwarding.ForwardedService;
import io.mulberrylift.core.forwarding.ForwardingConfiguration;
import io.mulberrylift.core.forwarding.Gateway;
import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.core.forwarding.GatewayEvent;
import io.mulberrylift.core.forwarding.GatewayIdentity;
import io.mulberrylift.core.forwarding.GatewayTerms;
import io.mulberrylift.core.forwarding.RefusalCause;
import io.mulberrylift.core.forwarding.RequestKind;
import io.mulberrylift.core.forwarding.RetryBounds;
import io.mulberrylift.core.forwarding.Route;
import io.mulberrylift.core.forwarding.RouteTable;
import io.mulberrylift.core.forwarding.WeightedService;
import io.mulberrylift.core.gossip.EvacuationKnowledge;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.Membership;
import io.mulberrylift.core.gossip.StoreKnowledge;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.gossip.StoreRole;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.limit.RequestLimitReport;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.peer.DigestCodec;
import io.mulberrylift.gateway.peer.PeerLink;

/**
 * Instances of several availability zones in virtual time, with their gossip, before
 * endpoints of one service that may name limits of requests or end when they run a
 * certain request.
 */
final class SimulatedFleet {

	private static final int MAX_PEER_BYTES_PER_SECOND = 4096;

	private static final int MAX_BURST_SECONDS = 2;

	private static final long TICK_MILLIS = 20;

	private static final long NETWORK_MILLIS = 2;

	/** Time from the end of a runner until its successor starts. */
	private static final long RESTART_MILLIS = 1500;

	/** Time from the start of a runner until instances know it. */
	private static final long LIST_MILLIS = 500;

	/** Time for which an instance must have run for timed promises to hold. */
	private static final long CONTACT_MILLIS = 3000;

	/** Number of ended runners from which a request must not be sent. */
	private static final int MAX_CRASHES = 3;

	static final RetryBounds RETRY_BOUNDS = new RetryBounds(0.2, 10_000, 100);

	private final SplittableRandom random;

	/** Separate, so that fingerprints do not change the times of a seed. */
	private final SplittableRandom fingerprintRandom;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));

	final List<SimulatedRunner> runners = new ArrayList<>();

	private final Map<String, Instance> instances = new LinkedHashMap<>();

	private final int zones;

	private final GatewayTerms terms;

	/** What endpoints accept while they are cold. */
	private final Optional<ColdStart> coldStart;

	private final double requestsPerSecond;

	/** Whether messages from one zone reach another one. */
	private BiPredicate<String, String> connected = (from, to) -> true;

	private long nowMillis;

	private long eventNumber;

	private long requestNumber;

	/** Time that runners take for a request. */
	long workMillis = 40;

	/** Share of requests that have the fingerprint of the popular one. */
	double popularShare;

	/** Whether a runner that ended starts again under its identity. */
	boolean runnersKeepIdentities;

	/** Fingerprint of a request that ends each runner which runs it. */
	private final long crashingFingerprint;

	/** Fingerprint of a request that many callers send at the same time. */
	private final long popularFingerprint;

	/** Part of prompts that ends each runner which answers a request with it. */
	final long crashingPart;

	/** Parts of prompts of which each other request contains one. */
	List<Long> sharedParts = List.of();

	private final Map<Long, ForwardRequest> requests = new HashMap<>();

	/** Indices of the instances that do not reach any endpoint. */
	Set<Integer> cutInstances = Set.of();

	/** What happens to attempts of these instances. */
	AttemptOutcome cutOutcome = AttemptOutcome.NOT_CONNECTED;

	/** Share of the attempts of these instances that have an established connection. */
	double establishedShare;

	/** Time until that happens. */
	long cutOutcomeMillis = CONNECT_TIMEOUT_MILLIS;

	/** Requests of callers by the index of the instance they arrived at. */
	private final Map<Long, Integer> arrivedAt = new HashMap<>();

	/** When requests were handed to peers. */
	final List<Long> relayedMillis = new ArrayList<>();

	private final Set<Long> answeredRequests = new HashSet<>();

	/** Time after which a connection attempt to an unreachable endpoint ends. */
	private static final long CONNECT_TIMEOUT_MILLIS = 350;

	private final List<Long> crashMillis = new ArrayList<>();

	private final List<CrashingSend> crashingSends = new ArrayList<>();

	/** When harmless requests were refused as isolated ones. */
	final List<Long> isolatedHarmlessMillis = new ArrayList<>();

	private int startedRunners;

	/** Whether endpoints answer every request with a failure. */
	boolean failing;

	int answered;

	/** Arrival times of all requests of callers. */
	final List<Long> requestMillis = new ArrayList<>();

	/** Sending times of all requests that were sent again. */
	final List<Long> retryMillis = new ArrayList<>();

	final List<GatewayEffect.Refuse> refused = new ArrayList<>();

	SimulatedFleet(int instances, int zones, int runners, double requestsPerSecond, long seed) {
		this(instances, zones, runners, requestsPerSecond, seed, GatewayTerms.NONE, Optional.empty());
	}

	SimulatedFleet(int instances, int zones, int runners, double requestsPerSecond, long seed, GatewayTerms terms,
			Optional<ColdStart> coldStart) {
		this.terms = terms;
		this.coldStart = coldStart;
		this.zones = zones;
		this.requestsPerSecond = requestsPerSecond;
		this.random = new SplittableRandom(seed);
		this.fingerprintRandom = new SplittableRandom(~seed);
		this.crashingFingerprint = this.fingerprintRandom.nextLong();
		this.popularFingerprint = this.fingerprintRandom.nextLong();
		this.crashingPart = ~this.crashingFingerprint;
		for (int index = 0; index < runners; index++) {
			this.runners.add(new SimulatedRunner(endpoint("runner-" + index, 1000 + index, zone(index))));
		}
		this.startedRunners = runners;
		for (int index = 0; index < instances; index++) {
			startInstance(index);
		}
	}

	private static ForwardEndpoint endpoint(String id, int port, String zone) {
		return new ForwardEndpoint(new EndpointId(id), "s", "10.99.0.1", port, zone, 1000, false, 0);
	}

	/**
	 * Sends the request that ends runners to an instance.
	 */
	void sendCrashingRequest(int instance) {
		this.instances.get(address(instance).toString()).arrive(this.crashingFingerprint, List.of());
	}

	/**
	 * Sends a new request with the part that ends runners to an instance.
	 * @param instance the instance
	 * @param otherParts further parts of its prompt
	 */
	void sendRequestWithCrashingPart(int instance, List<Long> otherParts) {
		List<Long> parts = new ArrayList<>(otherParts);
		parts.add(this.crashingPart);
		this.instances.get(address(instance).toString()).arrive(this.fingerprintRandom.nextLong(), parts);
	}

	/**
	 * Sends a request that ends no runner to an instance.
	 */
	void sendHarmlessRequest(int instance, List<Long> parts) {
		this.instances.get(address(instance).toString()).arrive(this.fingerprintRandom.nextLong(), parts);
	}

	int crashes() {
		return this.crashMillis.size();
	}

	/**
	 * Returns how often the request that ends runners reached one later than it may, sent
	 * by instances that had run long enough.
	 */
	long lateCrashingSends() {
		return lateCrashingSends(MAX_CRASHES);
	}

	/**
	 * Returns how often requests that end runners reached one later than they may.
	 * @param maxCrashes number of ended runners from which they must not be sent
	 */
	long lateCrashingSends(int maxCrashes) {
		if (this.crashMillis.size() < maxCrashes) {
			return 0;
		}
		long lastMillis = this.crashMillis.get(maxCrashes - 1) + CONTACT_MILLIS;
		return this.crashingSends.stream()
			.filter((send) -> send.millis() > lastMillis && send.instanceAgeMillis() >= CONTACT_MILLIS)
			.count();
	}

	/**
	 * Returns whether no instance has sent its peers more bytes than its rate permits
	 * since its start, with a burst of {@value #MAX_BURST_SECONDS} s.
	 */
	boolean isWithinPeerRate() {
		return this.instances.values().stream().allMatch((instance) -> {
			double seconds = (this.nowMillis - instance.startMillis) / 1000.0;
			return instance.peerBytes <= MAX_PEER_BYTES_PER_SECOND * (seconds + MAX_BURST_SECONDS);
		});
	}

	/**
	 * Ends runners for a reason that has nothing to do with their requests.
	 */
	void endRunners(int count) {
		List.copyOf(this.runners).stream().filter((runner) -> !runner.isEnded()).limit(count).forEach(this::end);
	}

	private void crash(SimulatedRunner runner) {
		this.crashMillis.add(this.nowMillis);
		end(runner);
	}

	private void end(SimulatedRunner runner) {
		runner.end().forEach((broken) -> at(this.nowMillis + NETWORK_MILLIS, broken));
		at(this.nowMillis + RESTART_MILLIS, () -> {
			ForwardEndpoint previous = runner.endpoint;
			ForwardEndpoint next = (this.runnersKeepIdentities) ? previous
					: cold(endpoint("runner-" + this.startedRunners++, previous.port(), previous.zone()));
			this.runners.set(this.runners.indexOf(runner), new SimulatedRunner(next));
			at(this.nowMillis + LIST_MILLIS, () -> this.instances.values().forEach(Instance::readEndpoints));
		});
	}

	/**
	 * Lets a runner become cold again, of which instances learn within a time.
	 */
	void chill(int index, long spreadMillis) {
		SimulatedRunner runner = this.runners.get(index);
		runner.endpoint = cold(runner.endpoint);
		this.instances.values()
			.forEach((instance) -> at(this.nowMillis + this.random.nextLong(spreadMillis), instance::readEndpoints));
	}

	private ForwardEndpoint cold(ForwardEndpoint endpoint) {
		return new ForwardEndpoint(endpoint.id(), endpoint.service(), endpoint.host(), endpoint.port(), endpoint.zone(),
				endpoint.slots(), false, this.coldStart.map(ColdStart::durationMillis).orElse(0L));
	}

	private long nextFingerprint() {
		return (this.fingerprintRandom.nextDouble() < this.popularShare) ? this.popularFingerprint
				: this.fingerprintRandom.nextLong();
	}

	/**
	 * Returns the share of the requests of callers that were answered.
	 * @param fromRequest number of the first request
	 * @param instance which instances they arrived at
	 */
	double answeredShare(long fromRequest, IntPredicate instance) {
		List<Long> arrived = this.arrivedAt.entrySet()
			.stream()
			.filter((entry) -> entry.getKey() >= fromRequest && instance.test(entry.getValue()))
			.map(Map.Entry::getKey)
			.toList();
		return (double) arrived.stream().filter(this.answeredRequests::contains).count() / arrived.size();
	}

	long requestNumber() {
		return this.requestNumber;
	}

	private boolean isCrashing(long requestId) {
		ForwardRequest request = this.requests.get(requestId);
		return request.fingerprint() == this.crashingFingerprint || request.promptParts().contains(this.crashingPart);
	}

	private String zone(int index) {
		return "zone-" + index % this.zones;
	}

	private static NetAddress address(int index) {
		return new NetAddress("10.0." + index / 250 + "." + (1 + index % 250), 7340);
	}

	/**
	 * Starts an instance, or replaces it by a new process at the same address.
	 */
	void startInstance(int index) {
		Instance instance = new Instance(index);
		Instance previous = this.instances.put(instance.address, instance);
		if (previous != null) {
			previous.stopped = true;
		}
		at(this.nowMillis + this.random.nextLong(TICK_MILLIS), instance::tick);
		instance.scheduleRequest();
	}

	void stopInstance(int index) {
		this.instances.remove(address(index).toString()).stopped = true;
	}

	/**
	 * Separates zones.
	 * @param reaches whether messages from the first zone reach the second one
	 */
	void connect(BiPredicate<String, String> reaches) {
		this.connected = reaches;
	}

	/**
	 * Lets an instance read the evacuated zones from the store.
	 */
	void readEvacuations(int instance, long revision, String... evacuated) {
		this.instances.get(address(instance).toString())
			.reduce(new GatewayEvent.EvacuationsRead(
					new EvacuationKnowledge(new StoreRevision(0, revision), List.of(evacuated))));
	}

	/**
	 * Returns the number of instances that know certain zones to be evacuated, and no
	 * others.
	 */
	long instancesThatKnowEvacuated(String... evacuated) {
		return this.instances.values()
			.stream()
			.filter((instance) -> instance.gateway.evacuatedZones().keySet().equals(Set.of(evacuated)))
			.count();
	}

	long nowMillis() {
		return this.nowMillis;
	}

	void limit(int runner, double requestsPerSecond) {
		this.runners.get(runner).setLimit(Optional.of(requestsPerSecond));
	}

	void endLimit(int runner) {
		this.runners.get(runner).setLimit(Optional.empty());
	}

	void run(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.events.peek().atMillis() <= endMillis) {
			Event event = this.events.poll();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		this.nowMillis = endMillis;
	}

	/**
	 * Returns how many instances of its zone each instance has discovered, itself
	 * included.
	 */
	IntStream discoveredInZone() {
		return this.instances.values()
			.stream()
			.mapToInt((instance) -> 1 + (int) instance.membership.trackedPeers()
				.stream()
				.filter((peer) -> this.instances.get(peer).zone.equals(instance.zone))
				.count());
	}

	private void at(long millis, Runnable action) {
		this.events.add(new Event(millis, this.eventNumber++, action));
	}

	private record CrashingSend(long millis, long instanceAgeMillis) {
	}

	private record Event(long atMillis, long number, Runnable action) {
	}

	private final class Instance {

		private final int index;

		private final String address;

		private final String zone;

		private final Gateway gateway;

		private final Membership membership;

		private final GossipScheduler gossip;

		private final Set<Long> sentRequests = new HashSet<>();

		/** What happens with the outcome of each request that a peer handed over. */
		private final Map<Long, Consumer<AttemptOutcome>> relayedRequests = new HashMap<>();

		private final long startMillis = SimulatedFleet.this.nowMillis;

		private long peerBytes;

		private boolean stopped;

		Instance(int index) {
			this.index = index;
			NetAddress self = address(index);
			this.address = self.toString();
			this.zone = zone(index);
			GatewayIdentity identity = new GatewayIdentity(this.address, this.zone, RETRY_BOUNDS, 0, 4000,
					SimulatedFleet.this.terms);
			this.gateway = new Gateway(identity, SimulatedFleet.this.random.split());
			this.membership = new Membership(this.address, this.zone, SimulatedFleet.this.random.split());
			List<String> seeds = IntStream.range(0, 3).mapToObj((seed) -> address(seed).toString()).toList();
			this.membership.setSeeds(seeds);
			this.gossip = new GossipScheduler(
					new GatewaySettings(identity, self, self, self, self, seeds, MAX_PEER_BYTES_PER_SECOND, 1000),
					this.gateway, this.membership, this::send, () -> new StoreRevision(0, 1),
					(now) -> new StoreKnowledge(StoreRole.READING, 1000));
			Route route = new Route("r", "h", "/", List.of(new WeightedService("s", 1)), RequestKind.IDEMPOTENT, 60_000,
					300, 0, 2, 1, true);
			reduce(new GatewayEvent.ConfigurationRead(new ForwardingConfiguration(1, new RouteTable(List.of(route)),
					Map.of("s", new ForwardedService("s", 100, Optional.empty(), SimulatedFleet.this.coldStart)),
					Map.of(), false, ClientLimits.DEFAULT)));
			readEndpoints();
		}

		private void readEndpoints() {
			reduce(new GatewayEvent.EndpointsRead(
					SimulatedFleet.this.runners.stream().map((runner) -> runner.endpoint).toList()));
		}

		private int send(InstanceDigest digest, List<String> targets, int maxBytes) {
			byte[] message = DigestCodec.encode(digest, maxBytes);
			for (String target : targets) {
				at(SimulatedFleet.this.nowMillis + NETWORK_MILLIS, () -> deliver(target, message));
			}
			int bytes = targets.size() * (message.length + PeerLink.DATAGRAM_OVERHEAD_BYTES);
			this.peerBytes += bytes;
			return bytes;
		}

		private void deliver(String target, byte[] message) {
			Instance receiver = SimulatedFleet.this.instances.get(target);
			if (receiver == null || !SimulatedFleet.this.connected.test(this.zone, receiver.zone)) {
				return;
			}
			try {
				InstanceDigest digest = DigestCodec.decode(this.address, message);
				if (!digest.crashes().isEmpty()) {
					receiver.reduce(new GatewayEvent.CrashesReported(this.address, digest.crashes()));
				}
				if (receiver.membership.receive(digest, SimulatedFleet.this.nowMillis)) {
					receiver.reduce(new GatewayEvent.DigestReceived(digest));
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		private void tick() {
			if (this.stopped) {
				return;
			}
			long now = SimulatedFleet.this.nowMillis;
			this.gateway.setLiveInstances(this.membership.liveInstances(now));
			this.gateway.setPartialView(this.membership.isPartial());
			this.gateway.setFleet(this.membership.view(now), now);
			this.gateway.setRelayPeers(this.membership.relayPeers(now));
			reduce(new GatewayEvent.Tick());
			this.gossip.tick(now);
			at(now + TICK_MILLIS, this::tick);
		}

		private void scheduleRequest() {
			double perInstance = SimulatedFleet.this.requestsPerSecond
					/ Math.max(1, SimulatedFleet.this.instances.size());
			double gapMillis = -Math.log(1 - SimulatedFleet.this.random.nextDouble()) * 1000 / perInstance;
			at(SimulatedFleet.this.nowMillis + 1 + (long) gapMillis, () -> {
				if (!this.stopped) {
					List<Long> shared = SimulatedFleet.this.sharedParts;
					arrive(SimulatedFleet.this.nextFingerprint(), (shared.isEmpty()) ? List.of()
							: List.of(shared.get(SimulatedFleet.this.fingerprintRandom.nextInt(shared.size()))));
					scheduleRequest();
				}
			});
		}

		private void arrive(long fingerprint, List<Long> parts) {
			long id = SimulatedFleet.this.requestNumber++;
			ForwardRequest request = new ForwardRequest("a" + id, "h", "/", Optional.empty(), 5000, 0, 0, fingerprint,
					parts, Optional.empty());
			SimulatedFleet.this.requests.put(id, request);
			SimulatedFleet.this.arrivedAt.put(id, this.index);
			SimulatedFleet.this.requestMillis.add(SimulatedFleet.this.nowMillis);
			reduce(new GatewayEvent.RequestArrived(id, request));
		}

		private void reduce(GatewayEvent event) {
			for (GatewayEffect effect : this.gateway.reduce(event, SimulatedFleet.this.nowMillis)) {
				if (effect instanceof GatewayEffect.Send send) {
					if (!this.sentRequests.add(send.requestId())) {
						SimulatedFleet.this.retryMillis.add(SimulatedFleet.this.nowMillis);
					}
					at(SimulatedFleet.this.nowMillis + NETWORK_MILLIS, () -> serve(send));
				}
				else if (effect instanceof GatewayEffect.Relay relay) {
					at(SimulatedFleet.this.nowMillis + NETWORK_MILLIS, () -> relay(relay));
				}
				else if (effect instanceof GatewayEffect.ProbeEndpoint probe) {
					at(SimulatedFleet.this.nowMillis + NETWORK_MILLIS, () -> connect(probe.endpoint().id()));
				}
				else if (effect instanceof GatewayEffect.PublishState) {
					this.gossip.requestFullState();
				}
				else if (effect instanceof GatewayEffect.Deliver deliver
						&& this.relayedRequests.containsKey(deliver.requestId())) {
					this.relayedRequests.remove(deliver.requestId()).accept(AttemptOutcome.COMPLETED);
				}
				else if (effect instanceof GatewayEffect.Refuse refuse
						&& this.relayedRequests.containsKey(refuse.requestId())) {
					this.relayedRequests.remove(refuse.requestId())
						.accept((refuse.cause().status() == 503) ? AttemptOutcome.REFUSED_FULL
								: AttemptOutcome.GARBLED);
				}
				else if (effect instanceof GatewayEffect.Deliver deliver) {
					SimulatedFleet.this.answered++;
					SimulatedFleet.this.answeredRequests.add(deliver.requestId());
				}
				else if (effect instanceof GatewayEffect.Refuse refuse) {
					SimulatedFleet.this.refused.add(refuse);
					if (refuse.cause() == RefusalCause.ISOLATED
							&& !SimulatedFleet.this.isCrashing(refuse.requestId())) {
						SimulatedFleet.this.isolatedHarmlessMillis.add(SimulatedFleet.this.nowMillis);
					}
				}
			}
		}

		private void connect(EndpointId endpoint) {
			boolean runs = SimulatedFleet.this.runners.stream()
				.anyMatch((each) -> each.endpoint.id().equals(endpoint) && !each.isEnded());
			if (runs && !SimulatedFleet.this.cutInstances.contains(this.index)) {
				reduce(new GatewayEvent.ConnectionEstablished(endpoint));
			}
		}

		/**
		 * Hands a request of this instance to a peer.
		 */
		private void relay(GatewayEffect.Relay relay) {
			SimulatedFleet.this.relayedMillis.add(SimulatedFleet.this.nowMillis);
			Instance peer = SimulatedFleet.this.instances.get(relay.peer());
			if (peer == null || !SimulatedFleet.this.connected.test(this.zone, peer.zone)) {
				at(SimulatedFleet.this.nowMillis + CONNECT_TIMEOUT_MILLIS,
						() -> end(relay.attemptId(), AttemptOutcome.NOT_CONNECTED, 0));
				return;
			}
			long id = SimulatedFleet.this.requestNumber++;
			ForwardRequest original = SimulatedFleet.this.requests.get(relay.requestId());
			ForwardRequest handed = new ForwardRequest(original.attemptId(), original.host(), original.path(),
					original.key(), relay.timeLeftMillis(), 0, 0, original.fingerprint(), original.promptParts(),
					Optional.of(relay.terms()));
			SimulatedFleet.this.requests.put(id, handed);
			peer.relayedRequests.put(id, (outcome) -> at(SimulatedFleet.this.nowMillis + NETWORK_MILLIS,
					() -> end(relay.attemptId(), outcome, (outcome == AttemptOutcome.COMPLETED) ? 200 : 503)));
			peer.reduce(new GatewayEvent.RequestArrived(id, handed));
		}

		private void serve(GatewayEffect.Send send) {
			boolean cut = SimulatedFleet.this.cutInstances.contains(this.index);
			if (cut && SimulatedFleet.this.random.nextDouble() >= SimulatedFleet.this.establishedShare) {
				at(SimulatedFleet.this.nowMillis + SimulatedFleet.this.cutOutcomeMillis,
						() -> end(send.attemptId(), SimulatedFleet.this.cutOutcome, 0));
				return;
			}
			Optional<SimulatedRunner> found = SimulatedFleet.this.runners.stream()
				.filter((each) -> each.endpoint.id().equals(send.endpoint().id()) && !each.isEnded())
				.findFirst();
			if (found.isEmpty()) {
				at(SimulatedFleet.this.nowMillis + NETWORK_MILLIS,
						() -> end(send.attemptId(), AttemptOutcome.NOT_CONNECTED, 0));
				return;
			}
			SimulatedRunner runner = found.get();
			if (!cut) {
				reduce(new GatewayEvent.ConnectionEstablished(runner.endpoint.id()));
			}
			RequestLimitReport report = runner.arrive(this.address, SimulatedFleet.this.nowMillis);
			runner.begin(send.attemptId() + this.address, () -> end(send.attemptId(), AttemptOutcome.BROKEN, 0));
			boolean crashing = SimulatedFleet.this.isCrashing(send.requestId());
			if (crashing) {
				SimulatedFleet.this.crashingSends.add(new CrashingSend(SimulatedFleet.this.nowMillis,
						SimulatedFleet.this.nowMillis - this.startMillis));
			}
			at(SimulatedFleet.this.nowMillis + SimulatedFleet.this.workMillis, () -> {
				if (runner.isEnded()) {
					return;
				}
				if (crashing) {
					crash(runner);
					return;
				}
				runner.complete(send.attemptId() + this.address);
				at(SimulatedFleet.this.nowMillis + NETWORK_MILLIS, () -> answered(runner, send, report));
			});
		}

		private void answered(SimulatedRunner runner, GatewayEffect.Send send, RequestLimitReport report) {
			if (this.stopped) {
				return;
			}
			report.requestsPerSecond().ifPresent((limit) -> runner.tell(this.address, SimulatedFleet.this.nowMillis));
			reduce(new GatewayEvent.NoticesReceived(runner.endpoint.id(), send.attemptId(),
					EndpointNotices.of(report)));
			end(send.attemptId(),
					(SimulatedFleet.this.failing) ? AttemptOutcome.ENDPOINT_ERROR : AttemptOutcome.COMPLETED,
					(SimulatedFleet.this.failing) ? 500 : 200);
		}

		private void end(long attemptId, AttemptOutcome outcome, int status) {
			if (!this.stopped) {
				reduce(new GatewayEvent.AttemptEnded(attemptId, outcome, status));
			}
		}

	}

}
