package io.mulberrylift.testkit.soak;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.mulberrylift.testkit.fleet.FleetDefaults;
import io.mulberrylift.testkit.fleet.FleetProcesses;

/**
 * Nine instances, six engines and three plain service processes in three zones.
 *
 * <p>
 * Not safe for use by several threads, except for {@link #callerAddresses()}.
 * </p>
 */
final class SoakFleet {

	private static final int INSTANCES_PER_ZONE = 3;

	private static final int ENGINES_PER_ZONE = 2;

	private static final String MODEL = "outlook@1";

	private static final String SERVICE = "council-notification";

	private final FleetProcesses processes;

	private final String timeScale;

	private final List<String> callerAddresses = new CopyOnWriteArrayList<>();

	private int started;

	SoakFleet(FleetProcesses processes, String timeScale) {
		this.processes = processes;
		this.timeScale = timeScale;
	}

	void start() throws IOException {
		this.processes.publish(FleetDefaults.configuration());
		for (String zone : FleetDefaults.ZONES) {
			for (int i = 0; i < ENGINES_PER_ZONE; i++) {
				startEngine(zone);
			}
			startService(zone);
		}
		for (int i = 0; i < INSTANCES_PER_ZONE; i++) {
			for (String zone : FleetDefaults.ZONES) {
				startInstance(zone);
			}
		}
	}

	String startEngine(String zone) throws IOException {
		String id = name("engine", zone);
		this.processes.startEngine(id, zone, MODEL, "--time-scale", this.timeScale);
		return id;
	}

	void startService(String zone) throws IOException {
		this.processes.startService(name("notify", zone), zone, SERVICE);
	}

	void startInstance(String zone) throws IOException {
		String id = name("entry", zone);
		this.processes.startInstance(id, zone);
		this.callerAddresses.add(this.processes.instance(id).callerAddress());
	}

	private String name(String kind, String zone) {
		return kind + "-" + zone + "-" + ++this.started;
	}

	void removeCallerAddress(String address) {
		this.callerAddresses.remove(address);
	}

	String zone(String id) {
		return this.processes.zone(id);
	}

	List<String> endpoints(String kind) {
		return this.processes.endpointIds().stream().filter((id) -> id.startsWith(kind)).toList();
	}

	/**
	 * Returns the addresses that callers may send to.
	 * @return caller addresses of the instances that the load balancer knows
	 */
	List<String> callerAddresses() {
		return this.callerAddresses;
	}

	FleetProcesses processes() {
		return this.processes;
	}

}
