package io.mulberrylift.testkit.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.testkit.platform.ListedEndpoint;
import io.mulberrylift.testkit.platform.ListedInstance;

/**
 * Starts and ends the processes of a small fleet on the loopback address: the platform
 * stand-in, endpoints and entry instances.
 *
 * <p>
 * For use by one thread, except for {@link #instanceIds()}, {@link #instance(String)} and
 * {@link #readInstance(String, String)}, which any thread may call. Closing ends every
 * process that this object started.
 * </p>
 */
public final class FleetProcesses implements AutoCloseable {

	private static final String STANDINS = "io.mulberrylift.testkit.command.StandIns";

	private static final String DAEMON = "io.mulberrylift.daemon.MulberryliftMain";

	private static final Pattern STANDIN_READY = Pattern.compile("^listening (\\S+) (\\S+)$");

	private static final Pattern INSTANCE_READY = Pattern
		.compile("serves callers on port (\\d+), operators on port (\\d+) and instances on port (\\d+)");

	private static final String HOST = "127.0.0.1";

	private static final long READY_POLL_MILLIS = 50;

	private static final long READY_TIMEOUT_MILLIS = 60_000;

	private final JsonClient calls = new JsonClient();

	private final Consumer<String> output;

	private final Path directory;

	private final ManagedProcess platform;

	private final Map<String, ManagedProcess> endpoints = new LinkedHashMap<>();

	private final Map<String, InstanceProcess> instances = Collections.synchronizedMap(new LinkedHashMap<>());

	private final Map<String, String> zones = new HashMap<>();

	/**
	 * Starts the platform stand-in.
	 * @param directory directory for settings and histories, created if missing
	 * @param output receives each line of output of the processes
	 * @throws IOException if the process cannot be started
	 */
	public FleetProcesses(Path directory, Consumer<String> output) throws IOException {
		this.directory = Files.createDirectories(directory);
		this.output = output;
		this.platform = startStandIn("platform",
				List.of("platform", "--id", "platform", "--history", historyFile("platform")));
	}

	private ManagedProcess startStandIn(String name, List<String> arguments) throws IOException {
		return ManagedProcess.start(name, STANDINS, arguments, STANDIN_READY, this.output);
	}

	/**
	 * Publishes a configuration.
	 * @param document the configuration as JSON
	 * @return the published version
	 * @throws IOException if the platform rejects the request
	 */
	public long publish(String document) throws IOException {
		return this.calls.post(platformAddress(), "/control/configuration", Map.of("document", document))
			.path("version")
			.asLong();
	}

	/**
	 * Starts an engine stand-in and adds it to the instance list.
	 * @param id identity of the process
	 * @param zone availability zone of the process
	 * @param model the served model, with an optional version after {@code @}
	 * @param options additional command-line options of the stand-in
	 * @throws IOException if the process cannot be started
	 */
	public void startEngine(String id, String zone, String model, String... options) throws IOException {
		List<String> arguments = new ArrayList<>(
				List.of("engine", "--id", id, "--zone", zone, "--model", model, "--history", historyFile(id)));
		arguments.addAll(List.of(options));
		ManagedProcess engine = startStandIn(id, arguments);
		this.endpoints.put(id, engine);
		this.zones.put(id, zone);
		listEndpoint(new ListedEndpoint(id, WorkKind.MODEL, zone, engine.readyGroup(2), Set.of(modelName(model)),
				FleetDefaults.ENGINE_MEMORY_TOKENS, true, false));
	}

	private static String modelName(String model) {
		int separator = model.indexOf('@');
		return (separator < 0) ? model : model.substring(0, separator);
	}

	/**
	 * Starts a plain service stand-in and adds it to the instance list.
	 * @param id identity of the process
	 * @param zone availability zone of the process
	 * @param service the service that it provides
	 * @throws IOException if the process cannot be started
	 */
	public void startService(String id, String zone, String service) throws IOException {
		ManagedProcess runner = startStandIn(id, List.of("service", "--id", id, "--history", historyFile(id)));
		this.endpoints.put(id, runner);
		this.zones.put(id, zone);
		listEndpoint(
				new ListedEndpoint(id, WorkKind.SERVICE, zone, runner.readyGroup(2), Set.of(service), 0, false, false));
	}

	private void listEndpoint(ListedEndpoint endpoint) throws IOException {
		changeList(Map.of("addEndpoints", List.of(endpoint)));
	}

	/**
	 * Starts an instance, adds it to the instance list and waits until it is ready.
	 * @param id identity of the process
	 * @param zone availability zone of the process
	 * @throws IOException if the process cannot be started
	 */
	public void startInstance(String id, String zone) throws IOException {
		Path settings = this.directory.resolve(id + ".json");
		Files.writeString(settings, FleetDefaults.instanceSettings(id, zone, platformAddress()));
		ManagedProcess process = ManagedProcess.start(id, DAEMON, List.of("serve", "--settings", settings.toString()),
				INSTANCE_READY, this.output);
		InstanceProcess instance = new InstanceProcess(process, HOST + ":" + process.readyGroup(1),
				HOST + ":" + process.readyGroup(2), HOST + ":" + process.readyGroup(3));
		this.instances.put(id, instance);
		this.zones.put(id, zone);
		changeList(Map.of("addInstances",
				List.of(new ListedInstance(id, zone, instance.peerAddress(), false, System.currentTimeMillis()))));
		awaitReady(instance);
	}

	private void awaitReady(InstanceProcess instance) throws IOException {
		for (long waitedMillis = 0; waitedMillis < READY_TIMEOUT_MILLIS; waitedMillis += READY_POLL_MILLIS) {
			if (this.calls.getStatus(instance.operatorAddress(), "/readyz") == 200) {
				return;
			}
			Pauses.sleep(READY_POLL_MILLIS);
		}
		throw new IOException(instance.process().name() + " did not become ready in time; its output: "
				+ instance.process().output());
	}

	/**
	 * Changes the instance list.
	 * @param change fields of the list change as accepted by the platform
	 * @throws IOException if the platform rejects the request
	 */
	public void changeList(Map<String, ?> change) throws IOException {
		this.calls.post(platformAddress(), "/control/instances", change);
	}

	/**
	 * Kills a process and removes it from the instance list.
	 * @param id identity of the instance or endpoint
	 * @throws IOException if the platform rejects the request
	 */
	public void killAndRemove(String id) throws IOException {
		process(id).kill();
		this.instances.remove(id);
		this.endpoints.remove(id);
		changeList(Map.of("remove", Set.of(id)));
	}

	/**
	 * Sets a fault switch of the platform stand-in.
	 * @param name name of the switch
	 * @param body request body, written as JSON
	 * @throws IOException if the platform rejects the request
	 */
	public void controlPlatform(String name, Object body) throws IOException {
		this.calls.post(platformAddress(), "/control/" + name, body);
	}

	/**
	 * Sets a fault switch of an endpoint stand-in.
	 * @param id the endpoint
	 * @param name name of the switch
	 * @param body request body, written as JSON
	 * @throws IOException if the endpoint rejects the request
	 */
	public void controlEndpoint(String id, String name, Object body) throws IOException {
		this.calls.post(endpointAddress(id), "/control/" + name, body);
	}

	/**
	 * Simulates a network partition between an instance and other instances.
	 * @param id the instance
	 * @param others the unreachable instances, empty to end the partition
	 * @throws IOException if the instance rejects the request
	 */
	public void cutInstance(String id, Set<String> others) throws IOException {
		this.calls.post(instance(id).operatorAddress(), "/admin/cut", Map.of("instances", others));
	}

	/**
	 * Begins or ends a simulated network partition between an availability zone and the
	 * other zones and the platform. Callers can still reach all instances.
	 * @param zone the partitioned zone
	 * @param cut true to begin the partition, false to end it
	 * @throws IOException if a process rejects the request
	 */
	public void cutZone(String zone, boolean cut) throws IOException {
		for (String id : instanceIds()) {
			boolean inside = zone(id).equals(zone);
			Set<String> others = instanceIds().stream()
				.filter((other) -> zone(other).equals(zone) != inside)
				.collect(Collectors.toSet());
			cutInstance(id, cut ? others : Set.of());
		}
		Set<String> otherZones = this.zones.values()
			.stream()
			.filter((other) -> !other.equals(zone))
			.collect(Collectors.toSet());
		for (String id : endpointIds()) {
			Set<String> unreachable = zone(id).equals(zone) ? otherZones : Set.of(zone);
			controlEndpoint(id, "cut", Map.of("zones", cut ? unreachable : Set.of()));
		}
		controlPlatform("cut", Map.of("zones", cut ? Set.of(zone) : Set.of()));
	}

	/**
	 * Returns the availability zone of a process.
	 * @param id identity of the instance or endpoint
	 * @return the zone, null if no process of this identity was started
	 */
	public String zone(String id) {
		return this.zones.get(id);
	}

	/**
	 * Reads a JSON document from an endpoint.
	 * @param id the endpoint
	 * @param path path of the document
	 * @return the document
	 * @throws IOException if the call fails
	 */
	public JsonNode readEndpoint(String id, String path) throws IOException {
		return this.calls.get(endpointAddress(id), path);
	}

	/**
	 * Reads a JSON document from the operator port of an instance.
	 * @param id the instance
	 * @param path path of the document
	 * @return the document
	 * @throws IOException if the call fails
	 */
	public JsonNode readInstance(String id, String path) throws IOException {
		return this.calls.get(operatorAddress(id), path);
	}

	/**
	 * Reads a counter of an instance.
	 * @param id the instance
	 * @param name name of the counter in the metrics
	 * @return the value, 0 if the metrics do not contain the counter
	 * @throws IOException if the call fails
	 */
	public long readCounter(String id, String name) throws IOException {
		return this.calls.getText(operatorAddress(id), "/metrics")
			.lines()
			.filter((line) -> line.startsWith(name + " "))
			.mapToLong((line) -> (long) Double.parseDouble(line.substring(name.length() + 1)))
			.sum();
	}

	private String operatorAddress(String id) throws IOException {
		InstanceProcess instance = instance(id);
		if (instance == null) {
			throw new IOException("No running instance with id " + id);
		}
		return instance.operatorAddress();
	}

	/**
	 * Returns a process.
	 * @param id identity of the instance or endpoint
	 * @return the process
	 * @throws IllegalArgumentException if there is no such process
	 */
	public ManagedProcess process(String id) {
		if (this.instances.containsKey(id)) {
			return this.instances.get(id).process();
		}
		if (this.endpoints.containsKey(id)) {
			return this.endpoints.get(id);
		}
		throw new IllegalArgumentException("No running process with id " + id);
	}

	/**
	 * Returns an instance.
	 * @param id the instance
	 * @return its process and addresses, null if there is none
	 */
	public InstanceProcess instance(String id) {
		return this.instances.get(id);
	}

	/**
	 * Returns the identities of the instances.
	 * @return the identities in start order
	 */
	public List<String> instanceIds() {
		synchronized (this.instances) {
			return List.copyOf(this.instances.keySet());
		}
	}

	/**
	 * Returns the identities of the endpoints.
	 * @return the identities in start order
	 */
	public List<String> endpointIds() {
		return List.copyOf(this.endpoints.keySet());
	}

	/**
	 * Returns the path of the file that a stand-in writes its history to.
	 * @param id the endpoint
	 * @return the path of the file
	 */
	public String historyFile(String id) {
		return this.directory.resolve(id + ".history.jsonl").toString();
	}

	private String endpointAddress(String id) {
		return this.endpoints.get(id).readyGroup(2);
	}

	private String platformAddress() {
		return this.platform.readyGroup(2);
	}

	@Override
	public void close() {
		this.instances.values().forEach((instance) -> instance.process().close());
		this.endpoints.values().forEach(ManagedProcess::close);
		this.platform.close();
		this.calls.close();
	}

}
