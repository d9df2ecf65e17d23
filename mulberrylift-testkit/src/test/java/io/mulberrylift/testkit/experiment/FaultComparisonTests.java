package io.mulberrylift.testkit.experiment;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.scheduling.RoutingPolicy;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FaultComparison}.
 */
class FaultComparisonTests {

	private static String csv(long seed) {
		FaultTimes times = new FaultTimes(5, 15, 10, 10);
		return FaultReport.csv(List.of(new FaultComparison(times).run(FleetShape.TIMBANGAN, RoutingPolicy.SLACK,
				ExperimentFault.ENGINES_DIE, 10, seed)));
	}

	@Test
	void equalSeedsGiveEqualResults() {
		String first = csv(1);
		assertThat(csv(1)).isEqualTo(first);
		assertThat(csv(2)).isNotEqualTo(first);
	}

	private static SimulatedFleet run(ExperimentFault fault, long endMicros) {
		List<Arrival> arrivals = new Workload(FleetShape.TIMBANGAN, 1).generate(8, 60);
		FaultSchedule schedule = new FaultSchedule(fault, 20_000_000, endMicros);
		return ExperimentRun.run(FleetShape.TIMBANGAN, RoutingPolicy.SLACK, arrivals, 1, Optional.of(schedule));
	}

	private static long failures(SimulatedFleet fleet) {
		RunRecorder recorder = fleet.recorder();
		return recorder.arrivals()
			.stream()
			.filter((arrival) -> recorder.answer(arrival) == RunRecorder.Answer.FAILED)
			.count();
	}

	@Test
	void rejectedDocumentStaysUntilAValidOneIsServed() {
		SimulatedFleet stale = run(ExperimentFault.CONFIGURATION_STALE, Long.MAX_VALUE / 2);
		assertThat(stale.entries())
			.allSatisfy((entry) -> assertThat(entry.reducer().rejectedConfiguration()).isPresent())
			.allSatisfy((entry) -> assertThat(entry.reducer().fleet().configurationVersion()).isEqualTo(1));
		SimulatedFleet served = run(ExperimentFault.CONFIGURATION_STALE, 40_000_000);
		assertThat(served.entries())
			.allSatisfy((entry) -> assertThat(entry.reducer().fleet().configurationVersion()).isEqualTo(3));
		assertThat(failures(served)).isZero();
	}

	@Test
	void replacedInstanceEndsWithoutFailingItsRequests() {
		SimulatedFleet fleet = run(ExperimentFault.INSTANCE_REPLACED, 40_000_000);
		assertThat(fleet.entries()).extracting(SimulatedEntry::id)
			.contains(FleetShape.TIMBANGAN.entryId(7))
			.doesNotContain(FleetShape.TIMBANGAN.entryId(1));
		assertThat(failures(fleet)).isZero();
	}

	@Test
	void killedInstanceLosesItsRequests() {
		assertThat(failures(run(ExperimentFault.INSTANCE_KILLED, 40_000_000))).isPositive();
	}

	@Test
	void restartedEnginesReportNewIncarnations() {
		SimulatedFleet fleet = run(ExperimentFault.ENGINES_DIE, 40_000_000);
		assertThat(fleet.recorder().refusedLoadReads()).isPositive();
		assertThat(fleet.engines()).extracting((engine) -> engine.report().incarnation()).contains(1L, 2L);
	}

	@Test
	void enginesKnownToBeDownGetNoDispatch() {
		List<Arrival> arrivals = new Workload(FleetShape.TIMBANGAN, 1).generate(12, 60);
		FaultSchedule schedule = new FaultSchedule(ExperimentFault.ENGINES_DIE, 20_000_000, 40_000_000);
		RunRecorder recorder = ExperimentRun
			.run(FleetShape.TIMBANGAN, RoutingPolicy.SLACK, arrivals, 1, Optional.of(schedule))
			.recorder();
		assertThat(recorder.refusedLoadReads()).isPositive();
		assertThat(recorder.dispatchesToKnownDown()).isZero();
	}

}
