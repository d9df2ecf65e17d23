package io.mulberrylift.testkit.experiment;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.ModelSettings;
import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.configuration.RoutingSettings;
import io.mulberrylift.core.configuration.WorkspaceSettings;
import io.mulberrylift.core.scheduling.RoutingPolicy;

/**
 * Runs a list of requests against a simulated fleet with one policy in virtual time.
 */
final class ExperimentRun {

	private static final long START_MICROS = 3_000_000;

	private static final long DRAIN_MICROS = 320_000_000;

	private ExperimentRun() {
	}

	/**
	 * Runs the requests. Equal arguments give equal results.
	 * @param shape the fleet
	 * @param policy the policy
	 * @param arrivals the requests in the order of their send times
	 * @param window the measurement window, relative to the first possible send time
	 * @param seed seed of the entry instances
	 * @return the results
	 */
	static RunResult run(FleetShape shape, RoutingPolicy policy, List<Arrival> arrivals, RunResult.Window window,
			long seed) {
		SimulatedFleet fleet = run(shape, policy, arrivals, seed, Optional.empty());
		return RunResult.of(fleet.recorder(), shiftedByStart(window), fleet.engines());
	}

	/**
	 * Runs the requests with an optional fault. Instances exchange messages only if a
	 * fault is scheduled.
	 * @param shape the fleet
	 * @param policy the policy
	 * @param arrivals the requests in the order of their send times
	 * @param seed seed of the entry instances
	 * @param fault the scheduled fault, empty for none
	 * @return the fleet after the run
	 */
	static SimulatedFleet run(FleetShape shape, RoutingPolicy policy, List<Arrival> arrivals, long seed,
			Optional<FaultSchedule> fault) {
		List<Arrival> shifted = arrivals.stream()
			.map((arrival) -> arrival.withSendMicros(arrival.sendMicros() + START_MICROS))
			.toList();
		EventQueue queue = new EventQueue();
		SimulatedFleet fleet = new SimulatedFleet(shape, configuration(shape, policy), queue, new RunRecorder(shifted),
				seed, fault.isPresent());
		shifted.forEach((arrival) -> queue.scheduleAt(arrival.sendMicros() + RunRecorder.CALLER_MICROS,
				() -> fleet.deliverArrival(arrival)));
		fault.ifPresent((schedule) -> {
			FaultInjector injector = new FaultInjector(shape, fleet);
			queue.scheduleAt(schedule.beginMicros() + START_MICROS, () -> schedule.fault().begin(injector));
			queue.scheduleAt(schedule.endMicros() + START_MICROS, () -> schedule.fault().end(injector));
		});
		long lastMicros = shifted.isEmpty() ? 0 : shifted.get(shifted.size() - 1).sendMicros();
		queue.runUntil(lastMicros + DRAIN_MICROS);
		return fleet;
	}

	static RunResult.Window shiftedByStart(RunResult.Window window) {
		return new RunResult.Window(window.startMicros() + START_MICROS, window.endMicros() + START_MICROS);
	}

	private static FleetConfiguration configuration(FleetShape shape, RoutingPolicy policy) {
		Map<String, ProfileSettings> profiles = Stream.of(WorkProfile.values())
			.collect(Collectors.toMap(WorkProfile::label, WorkProfile::settings));
		Map<String, WorkspaceSettings> workspaces = IntStream.range(0, FleetShape.WORKSPACES)
			.mapToObj((i) -> "workspace-" + i)
			.collect(Collectors.toMap(Function.identity(), (name) -> new WorkspaceSettings(1, 0, null)));
		RoutingSettings routing = new RoutingSettings(policy.label(), 0, 0, 0, 0);
		return new FleetConfiguration(shape.zones(), Map.of(FleetShape.MODEL, new ModelSettings(null, null, 0, 0)),
				Map.of(), profiles, workspaces, routing, null, null, null);
	}

}
