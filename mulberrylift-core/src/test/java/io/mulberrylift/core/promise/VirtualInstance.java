package io.mulberrylift.core.promise;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import io.mulberrylift.core.Reducer;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.time.Moment;

/**
 * Simulates one process with its reducer and its own clocks. A frozen process defers its
 * events and effects and handles them when it resumes.
 */
final class VirtualInstance {

	private static final long TICK_MILLIS = 100;

	private final VirtualFleet fleet;

	private final InstanceIdentity identity;

	private final Reducer reducer;

	private final long startMillis;

	private final long clockOffsetMillis;

	private final Deque<Runnable> deferredActions = new ArrayDeque<>();

	private final Set<Long> cancelledAttempts = new HashSet<>();

	private final Set<String> openSends = new HashSet<>();

	private boolean alive = true;

	private long frozenUntilMillis;

	VirtualInstance(VirtualFleet fleet, InstanceIdentity identity, long seed, long clockOffsetMillis) {
		this.fleet = fleet;
		this.identity = identity;
		this.reducer = new Reducer(identity, seed);
		this.startMillis = fleet.time().nowMillis();
		this.clockOffsetMillis = clockOffsetMillis;
		tick();
	}

	private void tick() {
		if (this.alive) {
			submit(ControlEvent.Tick::new);
			this.fleet.time().schedule(TICK_MILLIS, this::tick);
		}
	}

	InstanceIdentity identity() {
		return this.identity;
	}

	Reducer reducer() {
		return this.reducer;
	}

	boolean isAlive() {
		return this.alive;
	}

	boolean isFrozen() {
		return this.fleet.time().nowMillis() < this.frozenUntilMillis;
	}

	Set<String> openSends() {
		return this.openSends;
	}

	Set<Long> cancelledAttempts() {
		return this.cancelledAttempts;
	}

	Moment moment() {
		long now = this.fleet.time().nowMillis();
		return new Moment(now - this.startMillis + 1, now + this.clockOffsetMillis);
	}

	void submit(Function<Moment, Event> event) {
		run(() -> {
			List<Effect> effects = this.reducer.reduce(event.apply(moment()));
			this.fleet.history()
				.recordConfigurationVersion(toString(), this.reducer.fleet().configurationVersion(),
						this.fleet.time().nowMillis());
			for (Effect effect : effects) {
				this.fleet.notifyObserver(this, effect);
				run(() -> this.fleet.execute(this, effect));
			}
		});
	}

	private void run(Runnable action) {
		if (!this.alive) {
			return;
		}
		if (isFrozen()) {
			this.deferredActions.add(action);
			return;
		}
		action.run();
	}

	void kill() {
		this.alive = false;
		this.openSends.forEach(this.fleet.history()::recordProcessLoss);
	}

	void freeze(long millis) {
		this.frozenUntilMillis = this.fleet.time().nowMillis() + millis;
		this.openSends.forEach((send) -> this.fleet.history().recordProcessFreeze(send, this.frozenUntilMillis));
		this.fleet.time().schedule(millis, this::resume);
	}

	private void resume() {
		Deque<Runnable> deferred = new ArrayDeque<>(this.deferredActions);
		this.deferredActions.clear();
		deferred.forEach(this::run);
	}

	@Override
	public String toString() {
		return this.identity.id() + "/" + this.identity.incarnation();
	}

}
