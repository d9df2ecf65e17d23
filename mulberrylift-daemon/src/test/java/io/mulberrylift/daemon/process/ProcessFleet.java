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
 * Three instances and three engines in three zones and two runners of a plain service, in
 * processes of their own.
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
		Conditions.await("a key is granted", this::grantsKeys);
	}

	/**
	 * Waits until the instances of all zones grant keys. An instance that replaced a
	 * killed one grants after the authority of the old one has ended.
	 */
	void awaitAllSeats() throws Exception {
		Set<String> granted = new HashSet<>();
		Conditions.await("the seats of all zones grant keys", () -> {
			Map<String, Long> before = grants();
			grantsKeys();
			grants().forEach((id, count) -> {
				if (count > before.get(id)) {
					granted.add(id);
				}
			});
			return granted.containsAll(this.processes.instanceIds());
		});
	}

	private Map<String, Long> grants() throws IOException {
		Map<String, Long> grants = new HashMap<>();
		for (String id : this.processes.instanceIds()) {
			grants.put(id, this.processes.readCounter(id, "witness_verdict_granted"));
		}
		return grants;
	}

	private boolean grantsKeys() throws Exception {
		try (LoadRun run = new LoadRun(this, "warm-up-" + this.started++)) {
			return run.caller().alert(this.callerAddresses.get(0)).whole();
		}
	}

	/**
	 * Mends all faults and replaces the processes that are missing.
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
			this.processes.startService(name("notify"), FleetDefaults.ZONES.get(endpoints("notify").size()), SERVICE);
		}
		for (String zone : FleetDefaults.ZONES) {
			if (instance(zone).isEmpty()) {
				startInstance(zone);
			}
			this.processes.cutZone(zone, false);
		}
	}

	String startEngine(String zone) throws IOException {
		String id = name("engine");
		this.processes.startEngine(id, zone, MODEL + "@1", "--time-scale", "10");
		return id;
	}

	void startInstance(String zone) throws IOException {
		String id = name("entry");
		this.processes.startInstance(id, zone);
		this.callerAddresses.add(address(id));
	}

	private String name(String kind) {
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
	 * Replaces an instance: the new one comes, then the old one leaves gracefully.
	 * @param id the old one
	 * @return the exit code of the old one
	 */
	Optional<Integer> replace(String id) throws Exception {
		startInstance(this.processes.zone(id));
		forget(id);
		this.processes.changeList(Map.of("leaving", Set.of(id)));
		this.processes.process(id).terminate();
		return this.processes.process(id).awaitExit(60_000);
	}

	void forget(String id) {
		this.callerAddresses.remove(address(id));
	}

	long publish() throws IOException {
		return this.processes.publish(FleetDefaults.configuration());
	}

	long version(String id) throws IOException {
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
	 * Reads what endpoints, the platform and the instances' versions recorded, and what
	 * the callers of one run saw.
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
