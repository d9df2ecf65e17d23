package io.mulberrylift.core.scheduling;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointLoad}.
 */
class EndpointLoadTests {

	private final SchedulingFixture fixture = SchedulingFixture.slack(1, 100);

	private final FleetLoad fleet = new FleetLoad(this.fixture.fleet, new SplittableRandom(1));

	private final EndpointLoad load = this.fleet.load(this.fixture.fleet.endpoints().iterator().next());

	private RunningWork work(int promptTokens, long dispatchedMillis) {
		PendingRequest request = this.fixture.request(promptTokens, 60_000);
		Assignment assignment = new Assignment(request.requestId(), SchedulingFixture.engine(1), List.of(), 0, 5);
		return new RunningWork(request, assignment, promptTokens, false, dispatchedMillis);
	}

	@Test
	void workSinceLastReportCountsOncePerInstance() {
		List<InstanceDescription> instances = IntStream.range(0, 3)
			.mapToObj((i) -> new InstanceDescription(new InstanceId("entry-" + i), new ZoneId("zone-1"), "127.0.0.1:1",
					false, 0))
			.toList();
		this.fixture.fleet.update(new FleetList(2, 2, instances, this.fixture.fleet.list().endpoints()));
		this.load.dispatched(work(2_000, 0));
		assertThat(this.load.prefillTokens(0)).isEqualTo(6_000);
	}

	@Test
	void pendingPrefillTokensDecreaseOverTime() {
		this.load.dispatched(work(12_000, 0));
		assertThat(this.load.prefillTokens(1_000)).isEqualTo(6_000);
		assertThat(this.load.prefillTokens(5_000)).isZero();
	}

	@Test
	void memoryIsFreedWhenWorkEnds() {
		RunningWork work = work(12_000, 0);
		this.load.dispatched(work);
		assertThat(this.load.freeMemoryTokens()).isEqualTo(SchedulingFixture.MEMORY_TOKENS - 12_050);
		this.load.ended(work.request().requestId());
		assertThat(this.load.freeMemoryTokens()).isEqualTo(SchedulingFixture.MEMORY_TOKENS);
	}

}
