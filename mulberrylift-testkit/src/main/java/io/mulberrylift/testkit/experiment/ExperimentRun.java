package io.mulberrylift.testkit.experiment;

import java.util.List;
import java.util.Map;
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
 * Runs a list of requests against a fleet under one policy in virtual time.
 */
final class ExperimentRun {

	private static final long START_MICROS = 3_000_000;

	private static final long DRAIN_MICROS = 320_000_000;

	private static final long REPORT_SPREAD_MICROS = 23_000;

	private ExperimentRun() {
	}

	/**
	 * Runs the requests. Equal arguments give equal results.
	 * @param shape the fleet
	 * @param policy the policy
	 * @param arrivals the requests in the order of their times
	 * @param window the span of time to report, in the time of the requests
	 * @param seed seed of the entry instances
	 * @return the figures
	 */
	static RunResult run(FleetShape shape, RoutingPolicy policy, List<Arrival> arrivals, RunResult.Window window,
			long seed) {
		List<Arrival> shifted = arrivals.stream()
			.map((arrival) -> arrival.at(arrival.sendMicros() + START_MICROS))
			.toList();
		RunRecorder recorder = new RunRecorder(shifted);
		EventQueue queue = new EventQueue();
		List<SimulatedEngine> engines = IntStream.range(0, shape.engines())
			.mapToObj((i) -> new SimulatedEngine(shape.engineId(i), queue, i * REPORT_SPREAD_MICROS))
			.toList();
		FleetConfiguration configuration = configuration(shape, policy);
		List<SimulatedEntry> entries = IntStream.range(0, shape.entries())
			.mapToObj((i) -> new SimulatedEntry(i, shape, configuration, queue, engines, recorder, seed * 100 + i))
			.toList();
		shifted.forEach((arrival) -> queue.at(arrival.sendMicros() + RunRecorder.CALLER_MICROS,
				() -> entries.get(arrival.entry()).arrive(arrival)));
		long lastMicros = shifted.isEmpty() ? 0 : shifted.get(shifted.size() - 1).sendMicros();
		queue.runUntil(lastMicros + DRAIN_MICROS);
		RunResult.Window shiftedWindow = new RunResult.Window(window.startMicros() + START_MICROS,
				window.endMicros() + START_MICROS);
		return RunResult.of(recorder, shiftedWindow, engines);
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
