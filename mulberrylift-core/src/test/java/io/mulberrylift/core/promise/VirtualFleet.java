package io.mulberrylift.core.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.IdempotencySettings;
import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.configuration.WorkspaceSettings;
import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.event.PeerEvent;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.core.peer.Heartbeat;
import io.mulberrylift.core.peer.PeerMessage;

/**
 * Several reducers with fakes of all they talk to, on one queue of virtual time.
 */
final class VirtualFleet {

	static final long LIST_FRESHNESS_MILLIS = 3_000;

	static final long CLOCK_SKEW_MILLIS = 200;

	static final long KEY_WINDOW_MILLIS = 40_000;

	static final long WARM_UP_MILLIS = 2 * LIST_FRESHNESS_MILLIS + 6 * CLOCK_SKEW_MILLIS;

	static final long CRASHING_FINGERPRINT = 666;

	private static final long LEAVING_DETECTION_LIMIT_MILLIS = 3_000;

	private static final long WATCH_STEP_MILLIS = 100;

	private final VirtualTime time = new VirtualTime();

	private final FleetHistory history = new FleetHistory();

	private final SplittableRandom random;

	private final VirtualNetwork network;

	private final VirtualPlatform platform;

	private final VirtualCaller caller;

	private final Map<InstanceId, VirtualInstance> instances = new HashMap<>();

	private final List<VirtualEndpoint> endpoints = new ArrayList<>();

	private final Map<String, RequestSpec> requests = new HashMap<>();

	private final Set<InstanceId> restartAfterExit = new HashSet<>();

	private final List<ZoneId> zones;

	private BiConsumer<VirtualInstance, Effect> observer = (instance, effect) -> {
	};

	private boolean leaseChecksEnabled = true;

	private long nextIncarnation = 1;

	private int nextInstance = 1;

	VirtualFleet(long seed, int zoneCount, int instancesPerZone, int endpointCount) {
		this.random = new SplittableRandom(seed);
		this.network = new VirtualNetwork(this.time, this.random.split());
		this.zones = List.of("a", "b", "c", "d", "e").subList(0, zoneCount).stream().map(ZoneId::new).toList();
		for (int i = 0; i < endpointCount; i++) {
			this.endpoints.add(new VirtualEndpoint(this.time, "e" + i));
		}
		this.platform = new VirtualPlatform(this.time,
				this.endpoints.stream().map((endpoint) -> endpoint.description(this.zones.get(0))).toList());
		this.platform.publish(1, configuration());
		this.caller = new VirtualCaller(this, this.random.split());
		for (int i = 0; i < zoneCount * instancesPerZone; i++) {
			ZoneId zone = this.zones.get(i % zoneCount);
			this.platform.addInstance(start(zone).identity().id(), zone);
		}
	}

	FleetConfiguration configuration() {
		ProfileSettings profile = new ProfileSettings(5, 5_000, 60_000, false, false, 0);
		return new FleetConfiguration(this.zones, Map.of(), Map.of(), Map.of("ticket", profile),
				Map.of("yard", new WorkspaceSettings(1, 0, "")), null,
				new IdempotencySettings(KEY_WINDOW_MILLIS, 0, 0, CLOCK_SKEW_MILLIS, LIST_FRESHNESS_MILLIS), null, null);
	}

	VirtualInstance start(ZoneId zone) {
		return startAs(new InstanceId(zone + "-" + this.nextInstance++), zone);
	}

	VirtualInstance startAs(InstanceId id, ZoneId zone) {
		InstanceIdentity identity = new InstanceIdentity(id, zone, this.nextIncarnation++);
		long offset = this.random.nextLong(CLOCK_SKEW_MILLIS) - CLOCK_SKEW_MILLIS / 2;
		VirtualInstance instance = new VirtualInstance(this, identity, this.random.nextLong(), offset);
		this.instances.put(id, instance);
		return instance;
	}

	VirtualTime time() {
		return this.time;
	}

	FleetHistory history() {
		return this.history;
	}

	VirtualNetwork network() {
		return this.network;
	}

	VirtualPlatform platform() {
		return this.platform;
	}

	VirtualCaller caller() {
		return this.caller;
	}

	SplittableRandom random() {
		return this.random;
	}

	List<ZoneId> zones() {
		return this.zones;
	}

	List<VirtualEndpoint> endpoints() {
		return this.endpoints;
	}

	Map<String, RequestSpec> requests() {
		return this.requests;
	}

	/**
	 * Returns the living process of an instance.
	 */
	Optional<VirtualInstance> liveProcess(InstanceId id) {
		return Optional.ofNullable(this.instances.get(id)).filter(VirtualInstance::isAlive);
	}

	/**
	 * Returns the living processes in the order of their names.
	 */
	List<VirtualInstance> liveInstances() {
		return this.instances.values()
			.stream()
			.filter(VirtualInstance::isAlive)
			.sorted((first, second) -> first.identity().id().compareTo(second.identity().id()))
			.toList();
	}

	void setObserver(BiConsumer<VirtualInstance, Effect> newObserver) {
		this.observer = newObserver;
	}

	void disableLeaseChecks() {
		this.leaseChecksEnabled = false;
	}

	void notifyObserver(VirtualInstance instance, Effect effect) {
		this.observer.accept(instance, effect);
	}

	void execute(VirtualInstance instance, Effect effect) {
		if (effect instanceof PeerEffect.Send send) {
			send(instance, send);
		}
		else if (effect instanceof AttemptEffect.Dispatch dispatch) {
			dispatch(instance, dispatch);
		}
		else if (effect instanceof AttemptEffect.Cancel cancel) {
			instance.cancelledAttempts().add(cancel.attemptId());
		}
		else if (effect instanceof RequestEffect answer) {
			this.caller.answered(instance, answer);
		}
		else if (effect instanceof EndpointEffect.ReadLoad read) {
			readLoad(instance, endpoint(read.endpoint().value()));
		}
		else if (effect instanceof PlatformEffect.ReadList) {
			this.time.schedule(2, () -> readList(instance));
		}
		else if (effect instanceof PlatformEffect.WatchConfiguration watch) {
			this.time.schedule(2, () -> watch(instance, watch.knownVersion(), watch.waitMillis()));
		}
		else if (effect instanceof ControlEffect.Exit) {
			this.history.recordExit(instance.toString(), instance.openSends());
			instance.kill();
			afterExit(instance.identity());
		}
	}

	private void afterExit(InstanceIdentity exited) {
		if (this.restartAfterExit.remove(exited.id())) {
			this.time.schedule(300, () -> startAs(exited.id(), exited.zone()));
		}
		else {
			this.time.schedule(500, () -> this.platform.removeInstance(exited.id()));
		}
	}

	/**
	 * Shuts an instance down and starts it again without a word to the platform.
	 */
	void shutDownAndRestart(VirtualInstance instance) {
		this.restartAfterExit.add(instance.identity().id());
		this.time.schedule(1, () -> instance.submit(ControlEvent.ShutdownRequested::new));
	}

	private VirtualEndpoint endpoint(String name) {
		return this.endpoints.stream().filter((any) -> any.id().value().equals(name)).findFirst().orElseThrow();
	}

	private void send(VirtualInstance from, PeerEffect.Send effect) {
		VirtualInstance to = this.instances.get(effect.to());
		PeerMessage message = this.network.intercept(effect.message());
		if (to == null || message == null) {
			return;
		}
		this.network.send(from.identity().zone(), to.identity().zone(),
				() -> deliver(from, to.identity().id(), message));
	}

	private void deliver(VirtualInstance from, InstanceId to, PeerMessage message) {
		VirtualInstance receiver = this.instances.get(to);
		InstanceId sender = from.identity().id();
		if (message instanceof ConfigurationMessage.Push push) {
			ConfigurationCheck check = this.platform.check(push.document());
			receiver.submit((moment) -> new PeerEvent.ConfigurationReceived(moment, sender, check));
			return;
		}
		receiver.submit((moment) -> new PeerEvent.Received(moment, sender, from.identity().incarnation(), message));
	}

	private void dispatch(VirtualInstance instance, AttemptEffect.Dispatch effect) {
		long attemptId = effect.attemptId();
		VirtualEndpoint endpoint = endpoint(effect.endpoint().value());
		boolean late = this.leaseChecksEnabled
				&& instance.moment().monotonicMillis() > effect.notAfterMonotonicMillis();
		if (late || instance.cancelledAttempts().contains(attemptId)) {
			this.time.schedule(1, () -> fail(instance, attemptId, AttemptFailure.NOT_SENT));
			return;
		}
		String name = instance + "#" + effect.requestId();
		this.time.schedule(1 + this.random.nextLong(3), () -> deliverAttempt(instance, attemptId, name, endpoint));
	}

	private void deliverAttempt(VirtualInstance instance, long attemptId, String name, VirtualEndpoint endpoint) {
		if (!endpoint.isUp()) {
			fail(instance, attemptId, AttemptFailure.NOT_SENT);
			return;
		}
		if (endpoint.isLeaving()) {
			this.history.recordDispatchToLeavingEndpoint(endpoint.id().value(),
					endpoint.isLeavingLongerThan(LEAVING_DETECTION_LIMIT_MILLIS));
			fail(instance, attemptId, AttemptFailure.DRAINING);
			return;
		}
		this.history.recordRun(name, endpoint.id().value(), this.time.nowMillis());
		this.requests.get(name).key().ifPresent((key) -> {
			if (this.time.nowMillis() > key.firstSentEpochMillis() + KEY_WINDOW_MILLIS) {
				this.history.recordRunAfterWindow(name);
			}
		});
		boolean[] ended = new boolean[1];
		endpoint.addConnection(() -> {
			if (!ended[0]) {
				ended[0] = true;
				this.time.schedule(1, () -> fail(instance, attemptId, AttemptFailure.CONNECTION_LOST));
			}
		});
		long fingerprint = this.requests.get(name).fingerprint();
		if (fingerprint == CRASHING_FINGERPRINT) {
			this.time.schedule(5, () -> crash(endpoint, fingerprint));
		}
		else if (!endpoint.isHanging()) {
			this.time.schedule(20 + this.random.nextLong(200), () -> {
				if (!ended[0]) {
					ended[0] = true;
					finish(instance, attemptId);
				}
			});
		}
	}

	private void crash(VirtualEndpoint endpoint, long fingerprint) {
		if (endpoint.crash()) {
			this.history.recordEndpointLoss(fingerprint);
		}
	}

	private static void fail(VirtualInstance instance, long attemptId, AttemptFailure failure) {
		instance.submit(
				(moment) -> new AttemptEvent.Failed(moment, attemptId, failure, 0, OptionalLong.empty(), "virtual"));
	}

	private static void finish(VirtualInstance instance, long attemptId) {
		Optional<StoredAnswer> answer = Optional.of(new StoredAnswer(200, "text/plain", new byte[] { 1 }));
		instance.submit((moment) -> new AttemptEvent.Finished(moment, attemptId, 0, 0, 0, answer));
	}

	private void readLoad(VirtualInstance instance, VirtualEndpoint endpoint) {
		this.time.schedule(2,
				() -> instance
					.submit((moment) -> endpoint.isUp() ? new EndpointEvent.LoadReported(moment, endpoint.report())
							: new EndpointEvent.Unreachable(moment, endpoint.id(), true)));
	}

	private void readList(VirtualInstance instance) {
		InstanceId reader = instance.identity().id();
		if (!this.platform.isAvailableTo(reader)) {
			instance.submit((moment) -> new PlatformEvent.ReadFailed(moment, PlatformEvent.Source.LIST, "virtual"));
			return;
		}
		FleetList list = this.platform.read(reader);
		instance.submit((moment) -> new PlatformEvent.ListRead(moment, list));
	}

	private void watch(VirtualInstance instance, long knownVersion, long waitMillis) {
		if (!this.platform.isAvailableTo(instance.identity().id())) {
			instance.submit(
					(moment) -> new PlatformEvent.ReadFailed(moment, PlatformEvent.Source.CONFIGURATION, "virtual"));
			return;
		}
		Optional<ConfigurationCheck> check = this.platform.configurationAfter(instance.identity().id(), knownVersion);
		if (check.isPresent()) {
			instance.submit((moment) -> new PlatformEvent.ConfigurationRead(moment, check.get()));
		}
		else if (waitMillis <= 0) {
			instance.submit(PlatformEvent.ConfigurationUnchanged::new);
		}
		else {
			this.time.schedule(WATCH_STEP_MILLIS, () -> watch(instance, knownVersion, waitMillis - WATCH_STEP_MILLIS));
		}
	}

	void shutDown(VirtualInstance instance) {
		this.time.schedule(1, () -> instance.submit(ControlEvent.ShutdownRequested::new));
		this.time.schedule(700, () -> this.platform.markLeaving(instance.identity().id()));
	}

	/**
	 * Replaces every instance by a new one, each zone one instance after the other.
	 */
	void replaceAll(long intervalMillis) {
		long delay = 0;
		for (VirtualInstance old : liveInstances()) {
			this.time.schedule(delay, () -> {
				VirtualInstance fresh = start(old.identity().zone());
				this.time.schedule(300, () -> this.platform.addInstance(fresh.identity().id(), old.identity().zone()));
				this.time.schedule(2_500, () -> shutDown(old));
			});
			delay += intervalMillis;
		}
	}

	static boolean isStep(Effect effect) {
		boolean protocolMessage = effect instanceof PeerEffect.Send send && !(send.message() instanceof Heartbeat);
		return protocolMessage || effect instanceof AttemptEffect.Dispatch || effect instanceof RequestEffect;
	}

}
