package io.mulberrylift.testkit.experiment;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.mulberrylift.core.Reducer;
import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.time.Moment;
import io.mulberrylift.testkit.engine.CacheReport;
import io.mulberrylift.testkit.engine.EngineRequest;
import io.mulberrylift.testkit.engine.HoldKey;
import io.mulberrylift.testkit.engine.HoldUse;

/**
 * An entry instance: a reducer whose effects act on engine models after a fixed network
 * delay.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class SimulatedEntry {

	private static final long MICROS_PER_MILLI = 1_000;

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private static final long PLATFORM_MICROS = 2_000;

	private static final long CACHE_LAG_MICROS = 1_000_000;

	private static final int ENTRY_SHIFT = 40;

	private final int index;

	private final FleetShape shape;

	private final FleetConfiguration configuration;

	private final EventQueue queue;

	private final List<SimulatedEngine> engines;

	private final RunRecorder recorder;

	private final Reducer reducer;

	private final Map<EndpointId, Integer> engineIndexes;

	private final long[] cacheSequences;

	private final Map<Long, Long> holdTokens = new HashMap<>();

	private long tickMicros = Long.MAX_VALUE;

	SimulatedEntry(int index, FleetShape shape, FleetConfiguration configuration, EventQueue queue,
			List<SimulatedEngine> engines, RunRecorder recorder, long seed) {
		this.index = index;
		this.shape = shape;
		this.configuration = configuration;
		this.queue = queue;
		this.engines = engines;
		this.recorder = recorder;
		this.reducer = new Reducer(new InstanceIdentity(shape.entryId(index), shape.zoneOf(index), 1), seed);
		this.engineIndexes = IntStream.range(0, shape.engines())
			.boxed()
			.collect(Collectors.toMap(shape::engineId, (i) -> i));
		this.cacheSequences = new long[shape.engines()];
		queue.at(index * MICROS_PER_MILLI, () -> reduce(new ControlEvent.Tick(now())));
	}

	private Moment now() {
		long millis = this.queue.nowMicros() / MICROS_PER_MILLI;
		return new Moment(millis, EPOCH_MILLIS + millis);
	}

	void arrive(Arrival arrival) {
		reduce(new RequestEvent.Arrived(now(), arrival.spec()));
	}

	private void reduce(Event event) {
		for (Effect effect : this.reducer.reduce(event)) {
			perform(effect);
		}
		long wakeMicros = this.reducer.nextWakeMonotonicMillis(now()) * MICROS_PER_MILLI;
		long dueMicros = Math.max(wakeMicros, this.queue.nowMicros() + MICROS_PER_MILLI);
		if (dueMicros < this.tickMicros) {
			this.tickMicros = dueMicros;
			this.queue.at(dueMicros, () -> tick(dueMicros));
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
			toEngine(engine, () -> this.engines.get(engine).cancel(engineRequestId(cancel.attemptId())));
		}
		else if (effect instanceof EndpointEffect endpointEffect) {
			perform(endpointEffect);
		}
		else if (effect instanceof RequestEffect.Refuse refuse) {
			this.recorder.refused(refuse.requestId(), refuse.refusal(), this.queue.nowMicros());
		}
		else if (effect instanceof RequestEffect.Complete complete) {
			this.recorder.completed(complete.requestId(), this.queue.nowMicros());
		}
		else if (effect instanceof PlatformEffect platformEffect) {
			perform(platformEffect);
		}
	}

	private void perform(PlatformEffect effect) {
		if (effect instanceof PlatformEffect.ReadList) {
			this.queue.after(PLATFORM_MICROS, () -> reduce(new PlatformEvent.ListRead(now(), this.shape.list())));
		}
		else if (effect instanceof PlatformEffect.WatchConfiguration watch) {
			long waitMicros = PLATFORM_MICROS + watch.waitMillis() * MICROS_PER_MILLI;
			this.queue.after(waitMicros, () -> reduce(configurationEvent(watch.knownVersion())));
		}
	}

	private Event configurationEvent(long knownVersion) {
		if (knownVersion >= 1) {
			return new PlatformEvent.ConfigurationUnchanged(now());
		}
		return new PlatformEvent.ConfigurationRead(now(),
				new ConfigurationCheck.Accepted(new PublishedDocument(1, "{}"), this.configuration));
	}

	private void perform(EndpointEffect effect) {
		int engine = this.engineIndexes.get(effect.endpoint());
		if (effect instanceof EndpointEffect.ReadLoad) {
			toEngine(engine, () -> readLoad(engine));
		}
		else if (effect instanceof EndpointEffect.AcquireHold acquire) {
			this.holdTokens.put(acquire.hold().holdId(), acquire.hold().tokens());
			toEngine(engine, () -> acquireHold(engine, acquire.hold()));
		}
		else if (effect instanceof EndpointEffect.ReleaseHold release) {
			toEngine(engine, () -> releaseHold(engine, release.hold()));
		}
		else if (effect instanceof EndpointEffect.ListHolds) {
			toEngine(engine, () -> listHolds(engine));
		}
	}

	private void toEngine(int engine, Runnable action) {
		this.queue.after(this.shape.delayMicros(this.index, engine), action);
	}

	private void fromEngine(int engine, Function<Moment, Event> event) {
		this.queue.after(this.shape.delayMicros(this.index, engine), () -> reduce(event.apply(now())));
	}

	private long engineRequestId(long attemptId) {
		return ((long) this.index << ENTRY_SHIFT) + attemptId;
	}

	private void dispatch(AttemptEffect.Dispatch dispatch) {
		int engine = this.engineIndexes.get(dispatch.endpoint());
		Arrival arrival = this.recorder.arrival(dispatch.requestId());
		EngineRequest request = new EngineRequest(engineRequestId(dispatch.attemptId()), dispatch.priority(),
				arrival.promptTokens(), arrival.answerTokens(), dispatch.resumeOffsetTokens(), arrival.prefixBlocks(),
				holdUse(dispatch));
		toEngine(engine, () -> submit(engine, request, dispatch));
	}

	private Optional<HoldUse> holdUse(AttemptEffect.Dispatch dispatch) {
		if (dispatch.holds().isEmpty()) {
			return Optional.empty();
		}
		HoldKey own = new HoldKey(this.shape.entryId(this.index).value(), 1, dispatch.holds().get(0).holdId());
		long otherTokens = dispatch.holds()
			.stream()
			.skip(1)
			.mapToLong((hold) -> this.holdTokens.get(hold.holdId()))
			.sum();
		return Optional.of(new HoldUse(own, dispatch.holds().size(), otherTokens));
	}

	private void submit(int engine, EngineRequest request, AttemptEffect.Dispatch dispatch) {
		boolean accepted = this.engines.get(engine).submit(request, new SimulatedEngine.AttemptObserver() {
			@Override
			public void generated(int position) {
				SimulatedEntry.this.reducer.advance(dispatch.attemptId(), position);
				if (position == 1) {
					fromEngine(engine, (now) -> started(now, dispatch));
				}
			}

			@Override
			public void ended(int cachedTokens, int answerTokens) {
				fromEngine(engine, (now) -> {
					SimulatedEntry.this.recorder.finished(dispatch.requestId(), cachedTokens);
					return new AttemptEvent.Finished(now, dispatch.attemptId(), request.promptTokens(), cachedTokens,
							answerTokens, Optional.empty());
				});
			}
		});
		if (!accepted) {
			fromEngine(engine, (now) -> new AttemptEvent.Failed(now, dispatch.attemptId(), AttemptFailure.TURNED_AWAY,
					0, OptionalLong.empty(), "does not fit"));
		}
	}

	private Event started(Moment now, AttemptEffect.Dispatch dispatch) {
		this.recorder.firstToken(dispatch.requestId(), this.queue.nowMicros());
		return new AttemptEvent.Started(now, dispatch.attemptId());
	}

	private void readLoad(int engine) {
		SimulatedEngine simulated = this.engines.get(engine);
		simulated.apply((model) -> {
			CacheReport cache = model.cacheReport(this.cacheSequences[engine], CACHE_LAG_MICROS);
			this.cacheSequences[engine] = cache.sequence();
			if (cache.added().length + cache.evicted().length > 0 || !cache.complete()) {
				fromEngine(engine, (now) -> new EndpointEvent.CacheChanged(now, this.shape.engineId(engine),
						cache.complete(), boxed(cache.added()), boxed(cache.evicted())));
			}
		});
		LoadReport report = simulated.report();
		fromEngine(engine, (now) -> new EndpointEvent.LoadReported(now, report));
	}

	private static List<Long> boxed(long[] keys) {
		return Arrays.stream(keys).boxed().toList();
	}

	private void acquireHold(int engine, HoldDescription hold) {
		this.engines.get(engine).apply((model) -> {
			boolean granted = model.hold(key(hold), hold.tokens(), hold.expiresInMillis() * MICROS_PER_MILLI);
			fromEngine(engine,
					(now) -> new EndpointEvent.HoldAnswered(now, this.shape.engineId(engine), hold.holdId(), granted));
		});
	}

	private void releaseHold(int engine, HoldDescription hold) {
		this.engines.get(engine).apply((model) -> model.release(key(hold)));
		fromEngine(engine, (now) -> new EndpointEvent.HoldReleased(now, this.shape.engineId(engine), hold));
	}

	private void listHolds(int engine) {
		this.engines.get(engine).apply((model) -> {
			List<HoldDescription> holds = model.holds()
				.stream()
				.map((hold) -> new HoldDescription(hold.key().holdId(), new InstanceId(hold.key().owner()),
						hold.key().ownerIncarnation(), hold.tokens(),
						Math.max(0, (hold.expiresAtMicros() - this.queue.nowMicros()) / MICROS_PER_MILLI)))
				.toList();
			fromEngine(engine, (now) -> new EndpointEvent.HoldsListed(now, this.shape.engineId(engine), holds));
		});
	}

	private static HoldKey key(HoldDescription hold) {
		return new HoldKey(hold.owner().value(), hold.ownerIncarnation(), hold.holdId());
	}

}
