package io.mulberrylift.core;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.ConfigurationPart;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.event.PeerEvent;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.fleet.ListPolling;
import io.mulberrylift.core.fleet.LoadPolling;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.orders.OrdersPart;
import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.core.peer.Heartbeat;
import io.mulberrylift.core.peer.SuspectNotice;
import io.mulberrylift.core.peer.WitnessMessage;
import io.mulberrylift.core.request.RequestPart;
import io.mulberrylift.core.time.Moment;

/**
 * State machine of one instance. Consumes one event at a time and returns the resulting
 * effects as data.
 *
 * <p>
 * Not thread-safe; confined to one event loop. It has no clock, thread, socket, logger or
 * source of randomness of its own, so that the same sequence of events always gives the
 * same sequence of effects.
 * </p>
 */
public final class Reducer {

	private static final long TICK_INTERVAL_MILLIS = 100;

	private static final long HOUSEKEEPING_INTERVAL_MILLIS = 10;

	private final FleetState fleet;

	private final ReducerParts parts;

	private final ConfigurationPart configuration;

	private final ListPolling listPolling;

	private final LoadPolling loadPolling;

	private final RequestPart requests;

	private final OrdersPart orders;

	private final Effects effects = new Effects();

	private long nextHousekeepingMonotonicMillis = Long.MIN_VALUE;

	private boolean shuttingDown;

	private boolean exited;

	/**
	 * Creates the state of a process that has just started.
	 * @param self the identity of the process, not null
	 * @param seed seed of all jitter and sampling
	 */
	public Reducer(InstanceIdentity self, long seed) {
		this.fleet = new FleetState(Objects.requireNonNull(self, "self"));
		this.parts = ReducerParts.create(this.fleet, seed);
		this.configuration = this.parts.configuration();
		this.listPolling = new ListPolling(this.fleet);
		this.loadPolling = new LoadPolling(this.fleet);
		this.requests = this.parts.requests();
		this.orders = new OrdersPart(this.fleet);
	}

	/**
	 * Applies one event to the state.
	 * @param event the event, not null; must not be earlier than the previous event
	 * @return the effects to execute, in order, empty when there are none
	 */
	public List<Effect> reduce(Event event) {
		boolean paused = this.parts.membership().observe(event.at(), this.effects);
		this.parts.claims().observe(event.at());
		if (paused) {
			this.parts.claims().paused(this.effects);
		}
		if (event instanceof RequestEvent requestEvent) {
			reduceRequest(requestEvent);
		}
		else if (event instanceof AttemptEvent attemptEvent) {
			reduceAttempt(attemptEvent);
		}
		else if (event instanceof EndpointEvent endpointEvent) {
			reduceEndpoint(endpointEvent);
		}
		else if (event instanceof PlatformEvent platformEvent) {
			reducePlatform(platformEvent);
		}
		else if (event instanceof PeerEvent peerEvent) {
			reducePeer(peerEvent);
		}
		else if (event instanceof ControlEvent controlEvent) {
			reduceControl(controlEvent);
		}
		processPendingWork(event.at());
		return this.effects.drain();
	}

	/**
	 * Records the position of a stream without allocating memory.
	 * @param attemptId the attempt
	 * @param acceptedTokens number of output tokens that the caller's sink has accepted
	 */
	public void advanceStream(long attemptId, int acceptedTokens) {
		this.requests.advanced(attemptId, acceptedTokens);
	}

	private void reduceRequest(RequestEvent event) {
		if (event instanceof RequestEvent.Arrived arrived) {
			this.requests.arrived(arrived, this.effects);
		}
		else if (event instanceof RequestEvent.CallerDisconnected disconnected) {
			this.requests.callerDisconnected(disconnected, this.effects);
		}
	}

	private void reduceAttempt(AttemptEvent event) {
		if (event instanceof AttemptEvent.Started started) {
			this.requests.started(started, this.effects);
		}
		else if (event instanceof AttemptEvent.Finished finished) {
			this.requests.finished(finished, this.effects);
		}
		else if (event instanceof AttemptEvent.Failed failed) {
			this.requests.failed(failed, this.effects);
		}
	}

	private void reduceEndpoint(EndpointEvent event) {
		if (event instanceof EndpointEvent.LoadReported reported) {
			if (this.loadPolling.reported(reported)) {
				this.parts.crashGuard().endpointLost(reported.endpoint(), event.at(), this.effects);
			}
			this.parts.scheduler().loadReported(reported);
		}
		else if (event instanceof EndpointEvent.Unreachable unreachable) {
			this.loadPolling.unreachable(unreachable);
			if (unreachable.connectionRefused()) {
				this.parts.crashGuard().endpointLost(unreachable.endpoint(), event.at(), this.effects);
			}
		}
		else if (event instanceof EndpointEvent.CacheChanged changed) {
			this.parts.scheduler().cacheChanged(changed);
		}
		else if (event instanceof EndpointEvent.OrderAnswered answered) {
			this.orders.answered(answered, this.effects);
		}
		else {
			this.parts.memory().handle(event, this.effects);
		}
	}

	private void reducePlatform(PlatformEvent event) {
		if (event instanceof PlatformEvent.ListRead read) {
			this.listPolling.read(read);
			this.parts.membership().listRead();
			this.parts.claims().listRead();
		}
		else if (event instanceof PlatformEvent.ConfigurationRead read) {
			this.configuration.read(read.check(), event.at(), this.effects);
		}
		else if (event instanceof PlatformEvent.ConfigurationUnchanged) {
			this.configuration.unchanged(event.at());
		}
		else if (event instanceof PlatformEvent.ReadFailed failed) {
			readFailed(failed);
		}
	}

	private void readFailed(PlatformEvent.ReadFailed event) {
		if (event.source() == PlatformEvent.Source.LIST) {
			this.listPolling.failed();
		}
		else {
			this.configuration.readFailed(event.at());
		}
	}

	private void reducePeer(PeerEvent event) {
		if (event instanceof PeerEvent.ConfigurationReceived received) {
			this.parts.configurationDistributor().received(received.check(), this.effects);
		}
		else if (event instanceof PeerEvent.Received received) {
			boolean known = this.parts.membership().incarnation(received.from()).isPresent();
			if (this.parts.membership().received(received)) {
				reduceMessage(received);
			}
			if (!known) {
				this.parts.crashGuard().peerJoined(received.from(), this.effects);
			}
		}
	}

	private void reduceMessage(PeerEvent.Received event) {
		InstanceId from = event.from();
		if (event.message() instanceof Heartbeat heartbeat) {
			this.parts.configurationDistributor()
				.peerVersionReported(from, heartbeat.configurationVersion(), event.at(), this.effects);
		}
		else if (event.message() instanceof SuspectNotice notice) {
			this.parts.crashGuard().received(notice, event.at(), this.effects);
		}
		else if (event.message() instanceof ConfigurationMessage message) {
			this.parts.configurationDistributor().received(from, message, event.at(), this.effects);
		}
		else if (event.message() instanceof WitnessMessage message) {
			this.parts.claims().received(from, event.senderIncarnation(), message, this.effects);
		}
	}

	private void reduceControl(ControlEvent event) {
		if (event instanceof ControlEvent.ShutdownRequested && !this.shuttingDown) {
			this.shuttingDown = true;
			this.requests.shutDown();
			this.parts.membership().shutDown();
			this.parts.claims().shutDown(this.effects);
			this.effects.info(Part.REQUEST,
					"shutdown started with " + this.requests.inProgress() + " requests in progress");
		}
	}

	private void processPendingWork(Moment now) {
		this.requests.expire(now, this.effects);
		if (now.monotonicMillis() >= this.nextHousekeepingMonotonicMillis) {
			this.nextHousekeepingMonotonicMillis = now.monotonicMillis() + HOUSEKEEPING_INTERVAL_MILLIS;
			runHousekeeping(now);
		}
		this.parts.claims().tick(this.effects);
		this.parts.claims().takeOutcomes().forEach((outcome) -> this.requests.claimed(outcome, now, this.effects));
		this.requests.assign(now, this.effects);
		this.parts.memory().takeOutcomes().forEach((outcome) -> this.requests.reserved(outcome, now, this.effects));
		exitWhenIdle();
	}

	/**
	 * Runs the time-driven parts. Their cost grows with the size of the fleet, so they
	 * run at a fixed interval rather than on every event.
	 * @param now the current time
	 */
	private void runHousekeeping(Moment now) {
		this.listPolling.tick(now, this.effects);
		this.parts.membership().tick(this.requests.inProgress(), now, this.effects);
		this.parts.configurationDistributor().tick(now, this.effects);
		this.configuration.tick(now, this.effects);
		this.loadPolling.tick(now, this.effects);
		this.parts.memory().tick(now, this.effects);
		this.orders.tick(now, this.effects);
		this.parts.crashGuard().tick(now, this.effects);
	}

	private void exitWhenIdle() {
		boolean idle = this.requests.inProgress() == 0 && this.parts.memory().isEmpty() && this.parts.claims().isDone();
		if (this.shuttingDown && idle && !this.exited) {
			this.exited = true;
			this.effects.add(new ControlEffect.Exit());
		}
	}

	/**
	 * Returns when the next tick is due if no other event arrives first.
	 * @param now the current time
	 * @return the monotonic time in milliseconds, at most 100 ms after {@code now}
	 */
	public long nextWakeMonotonicMillis(Moment now) {
		long wake = Math.min(this.requests.nextWakeMonotonicMillis(), this.parts.scheduler().nextWakeMonotonicMillis());
		wake = Math.min(wake, this.parts.claims().nextWakeMonotonicMillis());
		return Math.min(wake, now.monotonicMillis() + TICK_INTERVAL_MILLIS);
	}

	/**
	 * Returns whether requests can be served: a configuration is in force, the instance
	 * list has been read and no shutdown is in progress.
	 * @return true if requests can be served
	 */
	public boolean isReady() {
		return !this.shuttingDown && this.fleet.configuration().isPresent() && this.fleet.list().version() > 0;
	}

	/**
	 * Returns the most recently rejected configuration document.
	 * @return the rejection with its problems, empty when no document was rejected
	 */
	public Optional<ConfigurationCheck.Rejected> rejectedConfiguration() {
		return this.configuration.rejected();
	}

	/**
	 * Returns the shared fleet state. Callers must not modify it.
	 * @return the fleet as this instance knows it
	 */
	public FleetState fleet() {
		return this.fleet;
	}

	/**
	 * Returns the state of every part, for the operators' state dump.
	 * @return a tree of maps, lists and plain values
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		state.put("instance", this.fleet.self().toString());
		state.put("ready", isReady());
		state.put("requests", this.requests.describe());
		state.put("scheduling", this.parts.scheduler().describe());
		state.put("memory", this.parts.memory().describe());
		state.put("orders", this.orders.describe());
		state.put("witness", this.parts.claims().describe());
		state.put("isolation", this.parts.crashGuard().describe());
		state.put("membership", this.parts.membership().describe());
		state.put("configuration", this.configuration.describe());
		state.put("listVersion", this.fleet.list().version());
		return state;
	}

}
