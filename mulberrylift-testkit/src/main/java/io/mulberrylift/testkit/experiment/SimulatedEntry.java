package io.mulberrylift.testkit.experiment;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.mulberrylift.core.Reducer;
import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.event.PeerEvent;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.time.Moment;
import io.mulberrylift.testkit.engine.EngineRequest;
import io.mulberrylift.testkit.engine.HoldKey;
import io.mulberrylift.testkit.engine.HoldUse;

/**
 * Simulated entry instance: a reducer whose effects are applied to simulated engines
 * after a fixed network delay.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class SimulatedEntry {

	private static final long MICROS_PER_MILLI = 1_000;

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private static final long PLATFORM_MICROS = 2_000;

	private static final int ENTRY_SHIFT = 40;

	private static final long INCARNATION_STEP = 64;

	/** Connect timeout in microseconds. */
	static final long CONNECT_TIMEOUT_MICROS = 1_000_000;

	private final int index;

	private final FleetShape shape;

	private final long incarnation;

	private final SimulatedFleet fleet;

	private final Map<Long, Integer> enginesOfAttempts = new TreeMap<>();

	private final Map<Long, Integer> streamPositions = new HashMap<>();

	private final Set<Long> lostAttempts = new HashSet<>();

	private boolean alive = true;

	private final EventQueue queue;

	private final List<SimulatedEngine> engines;

	private final RunRecorder recorder;

	private final Reducer reducer;

	private final Map<EndpointId, Integer> engineIndexes;

	private final EndpointCalls endpointCalls;

	private long tickMicros = Long.MAX_VALUE;

	SimulatedEntry(int index, long incarnation, SimulatedFleet fleet) {
		this.index = index;
		this.incarnation = incarnation;
		this.fleet = fleet;
		this.shape = fleet.shape();
		this.queue = fleet.queue();
		this.engines = fleet.engines();
		this.recorder = fleet.recorder();
		this.reducer = new Reducer(new InstanceIdentity(id(), zone(), incarnation), fleet.seedOf(index));
		this.engineIndexes = IntStream.range(0, this.shape.engines())
			.boxed()
			.collect(Collectors.toMap(this.shape::engineId, (i) -> i));
		this.endpointCalls = new EndpointCalls(this, index, fleet, this.engineIndexes);
		this.queue.scheduleAfter(index * MICROS_PER_MILLI, () -> reduce(new ControlEvent.Tick(now())));
	}

	InstanceId id() {
		return this.shape.entryId(this.index);
	}

	ZoneId zone() {
		return this.shape.zoneOf(this.index);
	}

	Reducer reducer() {
		return this.reducer;
	}

	boolean isAlive() {
		return this.alive;
	}

	boolean canReach(int engine) {
		return !this.fleet.conditions().areSeparated(zone(), this.shape.zoneOf(engine));
	}

	void receive(SimulatedEntry sender, PeerMessage message) {
		if (message instanceof ConfigurationMessage.Push push) {
			reduce(new PeerEvent.ConfigurationReceived(now(), sender.id(),
					this.fleet.conditions().check(push.document().version())));
		}
		else {
			reduce(new PeerEvent.Received(now(), sender.id(), sender.incarnation, message));
		}
	}

	void shutDown() {
		reduce(new ControlEvent.ShutdownRequested(now()));
	}

	/**
	 * Kills the process; its engines cancel the requests of the closed connections.
	 */
	void kill() {
		this.alive = false;
		this.enginesOfAttempts
			.forEach((attemptId, engine) -> this.engines.get(engine).cancel(engineRequestId(attemptId)));
		this.enginesOfAttempts.clear();
	}

	/**
	 * Breaks the connections of running attempts.
	 * @param affected selects the engines whose connections break
	 */
	void breakConnections(IntPredicate affected) {
		List<Long> attempts = this.enginesOfAttempts.keySet()
			.stream()
			.filter((attemptId) -> affected.test(this.enginesOfAttempts.get(attemptId)))
			.toList();
		for (long attemptId : attempts) {
			int engine = this.enginesOfAttempts.remove(attemptId);
			this.lostAttempts.add(attemptId);
			this.engines.get(engine).cancel(engineRequestId(attemptId));
			int position = this.streamPositions.getOrDefault(attemptId, 0);
			this.queue.scheduleAfter(this.shape.delayMicros(this.index, engine),
					() -> reduce(new AttemptEvent.Failed(now(), attemptId, AttemptFailure.CONNECTION_LOST, position,
							OptionalLong.empty(), "connection lost")));
		}
	}

	Moment now() {
		long millis = this.queue.nowMicros() / MICROS_PER_MILLI;
		return new Moment(millis, EPOCH_MILLIS + millis);
	}

	void handleArrival(Arrival arrival) {
		reduce(new RequestEvent.Arrived(now(), arrival.spec()));
	}

	void reduce(Event event) {
		if (!this.alive) {
			return;
		}
		for (Effect effect : this.reducer.reduce(event)) {
			perform(effect);
		}
		long wakeMicros = this.reducer.nextWakeMonotonicMillis(now()) * MICROS_PER_MILLI;
		long dueMicros = Math.max(wakeMicros, this.queue.nowMicros() + MICROS_PER_MILLI);
		if (dueMicros < this.tickMicros) {
			this.tickMicros = dueMicros;
			this.queue.scheduleAt(dueMicros, () -> tick(dueMicros));
		}
	}

	private void tick(long scheduledMicros) {
		if (scheduledMicros == this.tickMicros) {
			this.tickMicros = Long.MAX_VALUE;
			reduce(new ControlEvent.Tick(now()));
		}
	}

	private void perform(Effect effect) {
		if (effect instanceof AttemptEffect.Dispatch dispatch) {
			dispatch(dispatch);
		}
		else if (effect instanceof AttemptEffect.Cancel cancel) {
			int engine = this.engineIndexes.get(cancel.endpoint());
			this.enginesOfAttempts.remove(cancel.attemptId());
			sendToEngine(engine, () -> this.engines.get(engine).cancel(engineRequestId(cancel.attemptId())));
		}
		else if (effect instanceof EndpointEffect endpointEffect) {
			this.endpointCalls.perform(endpointEffect);
		}
		else if (effect instanceof RequestEffect.Refuse refuse) {
			this.recorder.recordRefusal(refuse.requestId(), refuse.refusal(), this.queue.nowMicros());
		}
		else if (effect instanceof RequestEffect.Complete complete) {
			this.recorder.recordCompletion(complete.requestId(), this.queue.nowMicros());
		}
		else if (effect instanceof PlatformEffect platformEffect) {
			perform(platformEffect);
		}
		else if (effect instanceof PeerEffect.Send send) {
			this.fleet.send(this, send.to(), send.message());
		}
		else if (effect instanceof ControlEffect.Exit) {
			kill();
		}
	}

	private void perform(PlatformEffect effect) {
		if (effect instanceof PlatformEffect.ReadList) {
			this.queue.scheduleAfter(PLATFORM_MICROS,
					() -> reduce(new PlatformEvent.ListRead(now(), this.fleet.conditions().list())));
		}
		else if (effect instanceof PlatformEffect.WatchConfiguration watch) {
			long waitMicros = PLATFORM_MICROS + watch.waitMillis() * MICROS_PER_MILLI;
			this.queue.scheduleAfter(waitMicros, () -> reduce(configurationEvent(watch.knownVersion())));
		}
	}

	private Event configurationEvent(long knownVersion) {
		FaultConditions conditions = this.fleet.conditions();
		if (knownVersion >= conditions.servedVersion()) {
			return new PlatformEvent.ConfigurationUnchanged(now());
		}
		return new PlatformEvent.ConfigurationRead(now(), conditions.check(conditions.servedVersion()));
	}

	void sendToEngine(int engine, Runnable action) {
		this.queue.scheduleAfter(this.shape.delayMicros(this.index, engine), () -> {
			if (canReach(engine) && !this.engines.get(engine).isDown()) {
				action.run();
			}
		});
	}

	void receiveFromEngine(int engine, Function<Moment, Event> event) {
		this.queue.scheduleAfter(this.shape.delayMicros(this.index, engine), () -> reduce(event.apply(now())));
	}

	private void receiveFromAttempt(int engine, AttemptEffect.Dispatch dispatch, Function<Moment, Event> event) {
		this.queue.scheduleAfter(this.shape.delayMicros(this.index, engine), () -> {
			if (this.alive && !this.lostAttempts.contains(dispatch.attemptId())) {
				reduce(event.apply(now()));
			}
		});
	}

	private long engineRequestId(long attemptId) {
		return (((this.incarnation - 1) * INCARNATION_STEP + this.index) << ENTRY_SHIFT) + attemptId;
	}

	private void dispatch(AttemptEffect.Dispatch dispatch) {
		int engine = this.engineIndexes.get(dispatch.endpoint());
		Arrival arrival = this.recorder.arrival(dispatch.requestId());
		EngineRequest request = new EngineRequest(engineRequestId(dispatch.attemptId()), dispatch.priority(),
				arrival.promptTokens(), arrival.answerTokens(), dispatch.resumeOffsetTokens(), arrival.prefixBlocks(),
				holdUse(dispatch));
		this.recorder.recordDispatch(dispatch.requestId(), this.index, engine);
		if (!canReach(engine)) {
			this.queue.scheduleAfter(CONNECT_TIMEOUT_MICROS, () -> reduce(notSent(now(), dispatch)));
			return;
		}
		if (this.engines.get(engine).isDown()) {
			receiveFromEngine(engine, (now) -> notSent(now, dispatch));
			return;
		}
		this.enginesOfAttempts.put(dispatch.attemptId(), engine);
		sendToEngine(engine, () -> submitUnlessLost(engine, request, dispatch));
	}

	private static Event notSent(Moment now, AttemptEffect.Dispatch dispatch) {
		return new AttemptEvent.Failed(now, dispatch.attemptId(), AttemptFailure.NOT_SENT, 0, OptionalLong.empty(),
				"no connection");
	}

	private void submitUnlessLost(int engine, EngineRequest request, AttemptEffect.Dispatch dispatch) {
		if (this.alive && !this.lostAttempts.contains(dispatch.attemptId())) {
			submit(engine, request, dispatch);
		}
	}

	private Optional<HoldUse> holdUse(AttemptEffect.Dispatch dispatch) {
		if (dispatch.holds().isEmpty()) {
			return Optional.empty();
		}
		HoldKey own = new HoldKey(id().value(), this.incarnation, dispatch.holds().get(0).holdId());
		long otherTokens = dispatch.holds()
			.stream()
			.skip(1)
			.mapToLong((hold) -> this.endpointCalls.holdTokens(hold.holdId()))
			.sum();
		return Optional.of(new HoldUse(own, dispatch.holds().size(), otherTokens));
	}

	private void submit(int engine, EngineRequest request, AttemptEffect.Dispatch dispatch) {
		boolean accepted = this.engines.get(engine).submit(request, new SimulatedEngine.AttemptObserver() {
			@Override
			public void generated(int position) {
				SimulatedEntry.this.streamPositions.put(dispatch.attemptId(), position);
				SimulatedEntry.this.reducer.advanceStream(dispatch.attemptId(), position);
				if (position == 1) {
					receiveFromAttempt(engine, dispatch, (now) -> started(now, dispatch));
				}
			}

			@Override
			public void ended(int cachedTokens, int answerTokens) {
				receiveFromAttempt(engine, dispatch, (now) -> {
					SimulatedEntry.this.enginesOfAttempts.remove(dispatch.attemptId());
					SimulatedEntry.this.streamPositions.remove(dispatch.attemptId());
					SimulatedEntry.this.recorder.recordFinishedAttempt(dispatch.requestId(), cachedTokens);
					return new AttemptEvent.Finished(now, dispatch.attemptId(), request.promptTokens(), cachedTokens,
							answerTokens, Optional.empty());
				});
			}
		});
		if (!accepted) {
			this.enginesOfAttempts.remove(dispatch.attemptId());
			receiveFromEngine(engine, (now) -> new AttemptEvent.Failed(now, dispatch.attemptId(),
					AttemptFailure.TURNED_AWAY, 0, OptionalLong.empty(), "request does not fit into the engine"));
		}
	}

	private Event started(Moment now, AttemptEffect.Dispatch dispatch) {
		this.recorder.recordFirstToken(dispatch.requestId(), this.queue.nowMicros());
		return new AttemptEvent.Started(now, dispatch.attemptId());
	}

}
