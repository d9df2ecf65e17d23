package io.mulberrylift.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.PeerMessage;

/**
 * Engines and entry instances of a run, and the network between the instances.
 *
 * <p>
 * Not safe for use by several threads. The slot of an instance keeps its index when the
 * process is replaced.
 * </p>
 */
final class SimulatedFleet {

	private static final long REPORT_SPREAD_MICROS = 23_000;

	private static final long PEER_DELAY_MICROS = 1_500;

	private final FleetShape shape;

	private final EventQueue queue;

	private final RunRecorder recorder;

	private final long seed;

	private final boolean peerMessagesEnabled;

	private final FaultConditions conditions;

	private final List<SimulatedEngine> engines;

	private final List<SimulatedEntry> entries = new ArrayList<>();

	SimulatedFleet(FleetShape shape, FleetConfiguration configuration, EventQueue queue, RunRecorder recorder,
			long seed, boolean peersTalk) {
		this.shape = shape;
		this.queue = queue;
		this.recorder = recorder;
		this.seed = seed;
		this.peerMessagesEnabled = peersTalk;
		this.conditions = new FaultConditions(configuration, shape.list());
		this.engines = IntStream.range(0, shape.engines())
			.mapToObj((i) -> new SimulatedEngine(shape.engineId(i), queue, i * REPORT_SPREAD_MICROS))
			.toList();
		for (int i = 0; i < shape.entries(); i++) {
			this.entries.add(new SimulatedEntry(i, 1, this));
		}
	}

	FleetShape shape() {
		return this.shape;
	}

	EventQueue queue() {
		return this.queue;
	}

	RunRecorder recorder() {
		return this.recorder;
	}

	FaultConditions conditions() {
		return this.conditions;
	}

	List<SimulatedEngine> engines() {
		return this.engines;
	}

	List<SimulatedEntry> entries() {
		return this.entries;
	}

	long seedOf(int entry) {
		return this.seed * 100 + entry;
	}

	void replace(int slot, int index, long incarnation) {
		this.entries.set(slot, new SimulatedEntry(index, incarnation, this));
	}

	/**
	 * Delivers a request to the instance in its slot, or to the next one that is alive.
	 * @param arrival the request
	 */
	void deliverArrival(Arrival arrival) {
		int slot = arrival.entry();
		while (!this.entries.get(slot).isAlive()) {
			slot = (slot + 1) % this.entries.size();
		}
		this.entries.get(slot).handleArrival(arrival);
	}

	/**
	 * Sends a message between instances. A network partition drops it.
	 * @param sender the sending instance
	 * @param to identity of the receiving instance
	 * @param message the message
	 */
	void send(SimulatedEntry sender, InstanceId to, PeerMessage message) {
		if (this.peerMessagesEnabled) {
			this.queue.scheduleAfter(PEER_DELAY_MICROS, () -> deliver(sender, to, message));
		}
	}

	private void deliver(SimulatedEntry sender, InstanceId to, PeerMessage message) {
		ZoneId senderZone = sender.zone();
		this.entries.stream()
			.filter((entry) -> entry.id().equals(to) && !this.conditions.areSeparated(senderZone, entry.zone()))
			.findFirst()
			.ifPresent((entry) -> entry.receive(sender, message));
	}

}
