package io.mulberrylift.daemon.peer;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.mulberrylift.core.Reducer;
import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.ModelSettings;
import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.configuration.WorkspaceSettings;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.event.PeerEvent;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.Heartbeat;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.peer.SuspectNotice;
import io.mulberrylift.core.peer.WitnessMessage;
import io.mulberrylift.core.time.Moment;

/**
 * Measures the control overhead of one idle instance for several fleet sizes: messages
 * and bytes sent, calls to endpoints and the platform, CPU time and heap. A standalone
 * command, not a test.
 */
public final class CapacityMeasurement {

	private static final int MEASUREMENT_SECONDS = 120;

	private static final int WARM_UP_SECONDS = 60;

	private static final long TICK_MILLIS = 100;

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private static final int ENDPOINTS_PER_TEN_INSTANCES = 105;

	private static final int INSTANCES_PER_ZONE = 17;

	private static final int GRANTS_PER_PART = 256;

	private static final int FRAME_OVERHEAD_BYTES = 5;

	private final int instances;

	private final FleetList list;

	private final Reducer reducer;

	private final Map<String, Long> counts = new TreeMap<>();

	private final Map<String, Long> bytes = new TreeMap<>();

	private long nowMillis = 1_000;

	private long watchEndsMillis = Long.MAX_VALUE;

	private CapacityMeasurement(int instances, int endpoints) {
		this.instances = instances;
		this.list = list(instances, endpoints);
		InstanceDescription self = this.list.instances().get(0);
		this.reducer = new Reducer(new InstanceIdentity(self.id(), self.zone(), 1), 1);
	}

	/**
	 * Prints the measurements.
	 * @param args not used
	 */
	public static void main(String[] args) {
		printMessageSizes();
		printMemoryPerKey();
		System.out.printf("%9s %9s | %8s %8s | %8s %8s | %9s %8s%n", "instances", "endpoints", "peer/s", "peerB/s",
				"load/s", "holds/s", "cpu ms/s", "heap kB");
		measure(9, 23);
		for (int instances : new int[] { 17, 51, 102, 204, 370 }) {
			measure(instances, instances * ENDPOINTS_PER_TEN_INSTANCES / 10);
		}
	}

	private static void printMessageSizes() {
		WitnessMessage.ClaimId claim = new WitnessMessage.ClaimId(new InstanceId("regina-hall-17"), EPOCH_MILLIS << 10,
				123_456);
		Stream<PeerMessage> messages = Stream.of(new Heartbeat(zone(0), 100_000, 5_000, 900_000, false, 40),
				new WitnessMessage.Claim(zone(0), EPOCH_MILLIS, key(1), EPOCH_MILLIS, claim),
				new WitnessMessage.Verdict(zone(0), claim, WitnessMessage.Decision.GRANTED, Optional.empty(),
						Optional.empty()),
				new WitnessMessage.Settled(zone(0), key(1), EPOCH_MILLIS, claim, Optional.empty()),
				new WitnessMessage.Release(zone(0), key(1), claim),
				new SuspectNotice(EPOCH_MILLIS, new EndpointId("engine-1234"), EPOCH_MILLIS, false, true));
		messages.forEach((message) -> System.out.printf("message %-14s %4d bytes with frame overhead%n",
				message.getClass().getSimpleName(), PeerCodec.encode(message).length + FRAME_OVERHEAD_BYTES));
	}

	private static void printMemoryPerKey() {
		for (int keys : new int[] { 10_000, 50_000, 150_000 }) {
			long heapBefore = usedHeapBytes();
			CapacityMeasurement measurement = new CapacityMeasurement(9, 23);
			measurement.run(WARM_UP_SECONDS);
			measurement.receiveHandover(keys);
			long heapBytes = usedHeapBytes() - heapBefore;
			System.out.printf("retained keys %7d: heap %6d kB, %d bytes per key%n", keys, heapBytes / 1_024,
					heapBytes / keys);
			measurement.counts.clear();
		}
	}

	private void receiveHandover(int keys) {
		int parts = (keys + GRANTS_PER_PART - 1) / GRANTS_PER_PART;
		for (int part = 0; part < parts; part++) {
			List<WitnessMessage.Grant> grants = new ArrayList<>();
			for (int i = part * GRANTS_PER_PART; i < Math.min(keys, (part + 1) * GRANTS_PER_PART); i++) {
				WitnessMessage.ClaimId claim = new WitnessMessage.ClaimId(new InstanceId("entry-1"), 1, i);
				grants.add(new WitnessMessage.Grant(key(i), i, claim, true, Optional.empty()));
			}
			this.reducer.reduce(new PeerEvent.Received(now(), new InstanceId("entry-1"), 1,
					new WitnessMessage.Handover(zone(0), 1, now().epochMillis(), EPOCH_MILLIS, part, parts, grants)));
		}
	}

	private static WitnessMessage.KeyId key(int number) {
		return new WitnessMessage.KeyId("forecast-desk", "01890a5d-ac96-774b-bcce-" + (100_000_000_000L + number),
				EPOCH_MILLIS + WARM_UP_SECONDS * 1_000L);
	}

	private static void measure(int instances, int endpoints) {
		long heapBefore = usedHeapBytes();
		CapacityMeasurement measurement = new CapacityMeasurement(instances, endpoints);
		measurement.run(WARM_UP_SECONDS);
		measurement.counts.clear();
		measurement.bytes.clear();
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long startNanos = threads.getCurrentThreadCpuTime();
		measurement.run(MEASUREMENT_SECONDS);
		double cpuMillis = (threads.getCurrentThreadCpuTime() - startNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
		long heapBytes = usedHeapBytes() - heapBefore;
		System.out.printf("%9d %9d | %8.1f %8.0f | %8.1f %8.1f | %9.2f %8d%n", instances, endpoints,
				measurement.perSecond("peer"),
				measurement.bytes.getOrDefault("peer", 0L) / (double) MEASUREMENT_SECONDS,
				measurement.perSecond("ReadLoad"), measurement.perSecond("ListHolds"), cpuMillis / MEASUREMENT_SECONDS,
				heapBytes / 1_024);
	}

	private static long usedHeapBytes() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private double perSecond(String name) {
		return this.counts.getOrDefault(name, 0L) / (double) MEASUREMENT_SECONDS;
	}

	private void run(int seconds) {
		Deque<Event> queue = new ArrayDeque<>();
		for (long end = this.nowMillis + seconds * 1_000L; this.nowMillis < end; this.nowMillis += TICK_MILLIS) {
			if (this.nowMillis % 1_000 == 0) {
				receiveHeartbeats(queue);
			}
			if (this.nowMillis >= this.watchEndsMillis) {
				this.watchEndsMillis = Long.MAX_VALUE;
				queue.add(new PlatformEvent.ConfigurationUnchanged(now()));
			}
			queue.add(new ControlEvent.Tick(now()));
			while (!queue.isEmpty()) {
				this.reducer.reduce(queue.poll()).forEach((effect) -> execute(effect, queue));
			}
		}
	}

	private void receiveHeartbeats(Deque<Event> queue) {
		for (InstanceDescription peer : this.list.instances()
			.subList(1, Math.min(this.instances, INSTANCES_PER_ZONE))) {
			queue.add(new PeerEvent.Received(now(), peer.id(), 1,
					new Heartbeat(peer.zone(), this.nowMillis, 1, 1, false, 10)));
		}
	}

	private void execute(Effect effect, Deque<Event> queue) {
		if (effect instanceof PeerEffect.Send send) {
			this.counts.merge("peer", 1L, Long::sum);
			this.bytes.merge("peer", (long) PeerCodec.encode(send.message()).length, Long::sum);
			return;
		}
		this.counts.merge(effect.getClass().getSimpleName(), 1L, Long::sum);
		if (effect instanceof PlatformEffect.ReadList) {
			queue.add(new PlatformEvent.ListRead(now(),
					new FleetList(1, now().epochMillis(), this.list.instances(), this.list.endpoints())));
		}
		else if (effect instanceof PlatformEffect.WatchConfiguration watch) {
			if (watch.knownVersion() == 0) {
				queue.add(configuration());
			}
			else {
				this.watchEndsMillis = this.nowMillis + watch.waitMillis();
			}
		}
		else if (effect instanceof EndpointEffect.ReadLoad read) {
			queue.add(new EndpointEvent.LoadReported(now(),
					new LoadReport(read.endpoint(), 1, 4, 1, 5_000, 100_000, false, Set.of("outlook@1"), "", 200)));
		}
		else if (effect instanceof EndpointEffect.ListHolds holds) {
			queue.add(new EndpointEvent.HoldsListed(now(), holds.endpoint(), List.<HoldDescription>of()));
		}
	}

	private PlatformEvent configuration() {
		FleetConfiguration configuration = new FleetConfiguration(List.of(zone(0)),
				Map.of("outlook", new ModelSettings("1", List.of(), 0, 0)), Map.of(),
				Map.of("brief", new ProfileSettings(5, 5_000, 60_000, true, false, 0)),
				Map.of("council", new WorkspaceSettings(1, 0, "")), null, null, null, null);
		return new PlatformEvent.ConfigurationRead(now(),
				new ConfigurationCheck.Accepted(new PublishedDocument(1, "{}"), configuration));
	}

	private Moment now() {
		return new Moment(this.nowMillis, EPOCH_MILLIS + this.nowMillis);
	}

	private static FleetList list(int instances, int endpoints) {
		List<InstanceDescription> instanceList = new ArrayList<>();
		for (int i = 0; i < instances; i++) {
			instanceList.add(new InstanceDescription(new InstanceId("entry-" + i), zone(i / INSTANCES_PER_ZONE),
					"127.0.0.1:1", false, EPOCH_MILLIS + i));
		}
		List<EndpointDescription> endpointList = new ArrayList<>();
		int zones = (instances + INSTANCES_PER_ZONE - 1) / INSTANCES_PER_ZONE;
		for (int i = 0; i < endpoints; i++) {
			endpointList.add(new EndpointDescription(new EndpointId("engine-" + i), WorkKind.MODEL, zone(i % zones),
					"127.0.0.1:1", Set.of("outlook"), 400_000, true, false));
		}
		return new FleetList(1, EPOCH_MILLIS, instanceList, endpointList);
	}

	private static ZoneId zone(int number) {
		return new ZoneId("zone-" + number);
	}

}
