package io.mulberrylift.testkit.experiment;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.testkit.engine.CacheReport;
import io.mulberrylift.testkit.engine.HoldKey;

/**
 * Calls of an entry instance to engines outside of attempts: load reads and holds.
 *
 * <p>
 * Not safe for use by several threads. A call across a network partition fails after the
 * connect timeout, a call to an engine that is down after one round trip.
 * </p>
 */
final class EndpointCalls {

	private static final long MICROS_PER_MILLI = 1_000;

	private static final long CACHE_LAG_MICROS = 1_000_000;

	private final SimulatedEntry entry;

	private final int index;

	private final FleetShape shape;

	private final EventQueue queue;

	private final List<SimulatedEngine> engines;

	private final RunRecorder recorder;

	private final Map<EndpointId, Integer> engineIndexes;

	private final long[] cacheSequences;

	private final long[] cacheIncarnations;

	private final Map<Long, Long> holdTokens = new HashMap<>();

	EndpointCalls(SimulatedEntry entry, int index, SimulatedFleet fleet, Map<EndpointId, Integer> engineIndexes) {
		this.entry = entry;
		this.index = index;
		this.shape = fleet.shape();
		this.queue = fleet.queue();
		this.engines = fleet.engines();
		this.recorder = fleet.recorder();
		this.engineIndexes = engineIndexes;
		this.cacheSequences = new long[this.shape.engines()];
		this.cacheIncarnations = new long[this.shape.engines()];
		Arrays.fill(this.cacheIncarnations, 1);
	}

	long holdTokens(long holdId) {
		return this.holdTokens.get(holdId);
	}

	/**
	 * Performs a call.
	 * @param effect the requested call
	 */
	void perform(EndpointEffect effect) {
		int engine = this.engineIndexes.get(effect.endpoint());
		if (!this.entry.canReach(engine)) {
			this.queue.scheduleAfter(SimulatedEntry.CONNECT_TIMEOUT_MICROS, () -> failCall(effect, false));
		}
		else if (this.engines.get(engine).isDown()) {
			this.queue.scheduleAfter(2 * this.shape.delayMicros(this.index, engine), () -> failCall(effect, true));
		}
		else {
			call(engine, effect);
		}
	}

	private void failCall(EndpointEffect effect, boolean connectionRefused) {
		if (effect instanceof EndpointEffect.ReadLoad) {
			this.recorder.recordFailedLoadRead(this.index, this.engineIndexes.get(effect.endpoint()),
					connectionRefused);
			this.entry.reduce(new EndpointEvent.Unreachable(this.entry.now(), effect.endpoint(), connectionRefused));
		}
		else if (effect instanceof EndpointEffect.AcquireHold acquire) {
			this.entry
				.reduce(new EndpointEvent.HoldUnanswered(this.entry.now(), effect.endpoint(), acquire.hold().holdId()));
		}
		else if (effect instanceof EndpointEffect.ReleaseHold release) {
			this.entry
				.reduce(new EndpointEvent.HoldUnanswered(this.entry.now(), effect.endpoint(), release.hold().holdId()));
		}
	}

	private void call(int engine, EndpointEffect effect) {
		if (effect instanceof EndpointEffect.ReadLoad) {
			this.entry.sendToEngine(engine, () -> readLoad(engine));
		}
		else if (effect instanceof EndpointEffect.AcquireHold acquire) {
			this.holdTokens.put(acquire.hold().holdId(), acquire.hold().tokens());
			this.entry.sendToEngine(engine, () -> acquireHold(engine, acquire.hold()));
		}
		else if (effect instanceof EndpointEffect.ReleaseHold release) {
			this.entry.sendToEngine(engine, () -> releaseHold(engine, release.hold()));
		}
		else if (effect instanceof EndpointEffect.ListHolds) {
			this.entry.sendToEngine(engine, () -> listHolds(engine));
		}
	}

	private void readLoad(int engine) {
		SimulatedEngine simulated = this.engines.get(engine);
		boolean restarted = this.cacheIncarnations[engine] != simulated.incarnation();
		if (restarted) {
			this.cacheIncarnations[engine] = simulated.incarnation();
			this.cacheSequences[engine] = 0;
		}
		simulated.apply((model) -> {
			CacheReport cache = model.cacheReport(this.cacheSequences[engine], CACHE_LAG_MICROS);
			this.cacheSequences[engine] = cache.sequence();
			boolean complete = cache.complete() && !restarted;
			if (cache.added().length + cache.evicted().length > 0 || !complete) {
				this.entry.receiveFromEngine(engine, (now) -> new EndpointEvent.CacheChanged(now,
						this.shape.engineId(engine), complete, toList(cache.added()), toList(cache.evicted())));
			}
		});
		LoadReport report = simulated.report();
		this.entry.receiveFromEngine(engine, (now) -> {
			this.recorder.recordLoadRead(this.index, engine);
			return new EndpointEvent.LoadReported(now, report);
		});
	}

	private static List<Long> toList(long[] keys) {
		return Arrays.stream(keys).boxed().toList();
	}

	private void acquireHold(int engine, HoldDescription hold) {
		this.engines.get(engine).apply((model) -> {
			boolean granted = model.hold(key(hold), hold.tokens(), hold.expiresInMillis() * MICROS_PER_MILLI);
			this.entry.receiveFromEngine(engine,
					(now) -> new EndpointEvent.HoldAnswered(now, this.shape.engineId(engine), hold.holdId(), granted));
		});
	}

	private void releaseHold(int engine, HoldDescription hold) {
		this.engines.get(engine).apply((model) -> model.release(key(hold)));
		this.entry.receiveFromEngine(engine,
				(now) -> new EndpointEvent.HoldReleased(now, this.shape.engineId(engine), hold));
	}

	private void listHolds(int engine) {
		this.engines.get(engine).apply((model) -> {
			List<HoldDescription> holds = model.holds()
				.stream()
				.map((hold) -> new HoldDescription(hold.key().holdId(), new InstanceId(hold.key().owner()),
						hold.key().ownerIncarnation(), hold.tokens(),
						Math.max(0, (hold.expiresAtMicros() - this.queue.nowMicros()) / MICROS_PER_MILLI)))
				.toList();
			this.entry.receiveFromEngine(engine,
					(now) -> new EndpointEvent.HoldsListed(now, this.shape.engineId(engine), holds));
		});
	}

	private static HoldKey key(HoldDescription hold) {
		return new HoldKey(hold.owner().value(), hold.ownerIncarnation(), hold.holdId());
	}

}
