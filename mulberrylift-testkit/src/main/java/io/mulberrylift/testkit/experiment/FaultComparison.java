package io.mulberrylift.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;

import io.mulberrylift.core.scheduling.RoutingPolicy;

/**
 * Runs a workload with a fault and measures before, during and after the fault.
 * Deterministic; for use by one thread.
 */
final class FaultComparison {

	private static final long MICROS_PER_SECOND = 1_000_000;

	private static final long STEP_SECONDS = 10;

	private static final double RECOVERED_FACTOR = 1.2;

	private final FaultTimes times;

	FaultComparison(FaultTimes times) {
		this.times = times;
	}

	FaultRow run(FleetShape shape, RoutingPolicy policy, ExperimentFault fault, double requestsPerSecond, long seed) {
		List<Arrival> arrivals = new Workload(shape, seed).generate(requestsPerSecond, this.times.totalSeconds());
		FaultSchedule schedule = new FaultSchedule(fault, this.times.faultBeginSeconds() * MICROS_PER_SECOND,
				this.times.faultEndSeconds() * MICROS_PER_SECOND);
		RunRecorder recorder = ExperimentRun.run(shape, policy, arrivals, seed, Optional.of(schedule)).recorder();
		List<FaultRow.Phase> phases = List.of(
				phase("before", recorder, this.times.warmUpSeconds(), this.times.faultBeginSeconds()),
				phase("during", recorder, this.times.faultBeginSeconds(), this.times.faultEndSeconds()),
				phase("after", recorder, this.times.faultEndSeconds(), this.times.totalSeconds()));
		List<Double> series = new ArrayList<>();
		for (long from = 0; from < this.times.totalSeconds(); from += STEP_SECONDS) {
			series.add(result(recorder, from, from + STEP_SECONDS).shortFirstTokenMillis(95));
		}
		double limit = RECOVERED_FACTOR * phases.get(0).shortFirstTokenP95Millis();
		OptionalLong recovery = LongStream
			.iterate(this.times.faultEndSeconds(), (from) -> from < this.times.totalSeconds(),
					(from) -> from + STEP_SECONDS)
			.filter((from) -> result(recorder, from, from + STEP_SECONDS).shortFirstTokenMillis(95) <= limit)
			.map((from) -> from - this.times.faultEndSeconds())
			.findFirst();
		return new FaultRow(shape, policy, fault, seed, phases, recovery, series);
	}

	private static RunResult.Window window(long fromSeconds, long toSeconds) {
		return ExperimentRun
			.shiftedByStart(new RunResult.Window(fromSeconds * MICROS_PER_SECOND, toSeconds * MICROS_PER_SECOND));
	}

	private static RunResult result(RunRecorder recorder, long fromSeconds, long toSeconds) {
		return new RunResult(recorder, window(fromSeconds, toSeconds), 0);
	}

	private static FaultRow.Phase phase(String name, RunRecorder recorder, long fromSeconds, long toSeconds) {
		RunResult result = result(recorder, fromSeconds, toSeconds);
		return new FaultRow.Phase(name, result.shortFirstTokenMillis(95), result.longFirstTokenMillis(95),
				result.share(RunRecorder.Answer.ANSWERED), result.count(RunRecorder.Answer.REFUSED),
				result.count(RunRecorder.Answer.LATE), result.count(RunRecorder.Answer.FAILED),
				dispatchesPerRequest(recorder, window(fromSeconds, toSeconds)));
	}

	private static double dispatchesPerRequest(RunRecorder recorder, RunResult.Window window) {
		return recorder.arrivals()
			.stream()
			.filter((arrival) -> window.contains(arrival.sendMicros()))
			.mapToInt(recorder::dispatchCount)
			.filter((dispatches) -> dispatches > 0)
			.average()
			.orElse(0);
	}

}
