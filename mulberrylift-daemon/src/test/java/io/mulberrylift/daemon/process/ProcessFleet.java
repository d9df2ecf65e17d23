package io.mulberrylift.daemon.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

import io.mulberrylift.testkit.fleet.FleetDefaults;
import io.mulberrylift.testkit.fleet.FleetProcesses;
import io.mulberrylift.testkit.fleet.VersionRecorder;
import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryReader;
import io.mulberrylift.testkit.history.HistoryWriter;

/**
 * A fleet of three instances and three engines in three zones and two endpoints of a
 * plain service, each in its own process.
 */
final class ProcessFleet implements AutoCloseable {

	static final String SERVICE = "council-notification";

	static final String MODEL = "outlook";

	private static final String HISTORY_SUFFIX = ".history.jsonl";

	private static final int SERVICES = 2;

	private final Path directory;

	private final FleetProcesses processes;

	private final HistoryWriter versions;

	private final VersionRecorder recorder;

	private final List<String> callerAddresses = new CopyOnWriteArrayList<>();

	private int started;

	ProcessFleet(Path directory) throws IOException {
		this.directory = directory;
		this.processes = new FleetProcesses(directory, (line) -> {
		});
		this.versions = HistoryWriter.appendTo(directory.resolve("versions" + HISTORY_SUFFIX));
		this.recorder = new VersionRecorder(this.processes, this.versions);
	}

	void start() throws Exception {
		publish();
		restore();
		Conditions.await("a key is granted", this::keyedCallSucceeds);
	}

	/**
	 * Waits until the instances of all zones grant keys. An instance that replaced a
	 * killed one grants keys only after the authority of the old one has expired.
	 */
	void awaitAllSeatsGranting() throws Exception {
		Set<String> granted = new HashSet<>();
		Conditions.await("the seats of all zones grant keys", () -> {
			Map<String, Long> before = grantCounts();
			keyedCallSucceeds();
			grantCounts().forEach((id, count) -> {
				if (count > before.get(id)) {
					granted.add(id);
				}
			});
			return granted.containsAll(this.processes.instanceIds());
		});
	}

	private Map<String, Long> grantCounts() throws IOException {
		Map<String, Long> grants = new HashMap<>();
		for (String id : this.processes.instanceIds()) {
			grants.put(id, this.processes.readCounter(id, "witness_verdict_granted"));
		}
		return grants;
	}

	private boolean keyedCallSucceeds() throws Exception {
		try (LoadRun run = new LoadRun(this, "warm-up-" + this.started++)) {
			return run.caller().alert(this.callerAddresses.get(0)).isComplete();
		}
	}

	/**
	 * Ends all injected faults and replaces missing processes.
	 */
	void restore() throws Exception {
		for (String id : this.processes.instanceIds()) {
			this.processes.process(id).resume();
		}
		this.processes.controlPlatform("down", Map.of("on", false));
		this.processes.controlPlatform("stale", Map.of("on", false));
		for (String id : this.processes.endpointIds()) {
			if (!this.processes.process(id).isAlive()) {
				this.processes.killAndRemove(id);
			}
		}
		Set<String> zones = new HashSet<>(FleetDefaults.ZONES);
		engines().forEach((id) -> zones.remove(this.processes.zone(id)));
		for (String zone : zones) {
			startEngine(zone);
		}
		while (endpoints("notify").size() < SERVICES) {
			this.processes.startService(nextId("notify"), FleetDefaults.ZONES.get(endpoints("notify").size()), SERVICE);
		}
		for (String zone : FleetDefaults.ZONES) {
			if (instance(zone).isEmpty()) {
				startInstance(zone);
			}
			this.processes.cutZone(zone, false);
		}
	}

	String startEngine(String zone) throws IOException {
		String id = nextId("engine");
		this.processes.startEngine(id, zone, MODEL + "@1", "--time-scale", "10");
		return id;
	}

	void startInstance(String zone) throws IOException {
		String id = nextId("entry");
		this.processes.startInstance(id, zone);
		this.callerAddresses.add(address(id));
	}

	private String nextId(String kind) {
		return kind + "-" + ++this.started;
	}

	/**
	 * Returns the instance of a zone.
	 * @param zone the zone
	 * @return its identity, empty when there is none
	 */
	Optional<String> instance(String zone) {
		return this.processes.instanceIds().stream().filter((id) -> this.processes.zone(id).equals(zone)).findFirst();
	}

	/**
	 * Replaces an instance: starts a new one, then shuts the old one down gracefully.
	 * @param id identity of the old instance
	 * @return the exit code of the old instance
	 */
	Optional<Integer> replace(String id) throws Exception {
		startInstance(this.processes.zone(id));
		removeCallerAddress(id);
		this.processes.changeList(Map.of("leaving", Set.of(id)));
		this.processes.process(id).terminate();
		return this.processes.process(id).awaitExit(60_000);
	}

	void removeCallerAddress(String id) {
		this.callerAddresses.remove(address(id));
	}

	long publish() throws IOException {
		return this.processes.publish(FleetDefaults.configuration());
	}

	long configurationVersion(String id) throws IOException {
		return this.processes.readInstance(id, "/admin/configuration").path("versionInForce").asLong();
	}

	String address(String id) {
		return this.processes.instance(id).callerAddress();
	}

	List<String> callerAddresses() {
		return this.callerAddresses;
	}

	List<String> engines() {
		return endpoints("engine");
	}

	List<String> endpoints(String kind) {
		return this.processes.endpointIds().stream().filter((id) -> id.startsWith(kind)).toList();
	}

	FleetProcesses processes() {
		return this.processes;
	}

	Path directory() {
		return this.directory;
	}

	/**
	 * Reads the events recorded by endpoints, the platform and the version recorder, and
	 * those of the callers of one run.
	 * @param callers the callers' history
	 * @return the events
	 */
	List<HistoryEvent> history(Path callers) throws IOException {
		List<Path> files = new ArrayList<>(List.of(callers));
		try (Stream<Path> all = Files.list(this.directory)) {
			all.filter((file) -> file.toString().endsWith(HISTORY_SUFFIX)).forEach(files::add);
		}
		return HistoryReader.read(files);
	}

	@Override
	public void close() throws Exception {
		this.recorder.close();
		this.processes.close();
		this.versions.close();
	}

}
