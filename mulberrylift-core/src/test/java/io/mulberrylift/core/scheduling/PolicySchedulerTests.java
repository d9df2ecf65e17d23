package io.mulberrylift.core.scheduling;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.mulberrylift.core.configuration.RoutingSettings;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PolicyScheduler}.
 */
class PolicySchedulerTests {

	private static final long MINUTE_MILLIS = 60_000;

	private final SchedulingFixture fixture = SchedulingFixture.slack(3, 34);

	private EndpointId longEngine() {
		PendingRequest request = this.fixture.request(20_000, MINUTE_MILLIS);
		EndpointId endpoint = this.fixture.assigned(request, 0);
		this.fixture.end(request, endpoint, 0, 2_000, 3_000);
		return endpoint;
	}

	@Test
	void shortPromptAvoidsEngineProcessingLongPrompt() {
		this.fixture.report(1, 0, 1, 80_000, 80_000);
		this.fixture.report(2, 0, 1, 80_000, 80_000);
		assertThat(this.fixture.assigned(this.fixture.request(2_000, MINUTE_MILLIS), 10))
			.isEqualTo(SchedulingFixture.engine(3));
	}

	@Test
	void shortPromptsAreSpreadOverEngines() {
		Set<EndpointId> used = new java.util.HashSet<>();
		for (int i = 0; i < 3; i++) {
			used.add(this.fixture.assigned(this.fixture.request(6_000, MINUTE_MILLIS), 0));
		}
		assertThat(used).hasSize(3);
	}

	@Test
	void cachedPrefixIsPreferredUnlessItsEngineIsBusy() {
		long[] blocks = { 11, 12, 13, 14 };
		this.fixture.scheduler.cacheChanged(new EndpointEvent.CacheChanged(SchedulingFixture.at(0),
				SchedulingFixture.engine(2), true, List.of(11L, 12L, 13L, 14L), List.of()));
		PendingRequest first = this.fixture.request(5_000, MINUTE_MILLIS, blocks);
		assertThat(this.fixture.assigned(first, 0)).isEqualTo(SchedulingFixture.engine(2));
		this.fixture.report(2, 10, 4, 11_000, 20_000);
		assertThat(this.fixture.assigned(this.fixture.request(5_000, MINUTE_MILLIS, blocks), 20))
			.isNotEqualTo(SchedulingFixture.engine(2));
	}

	@Test
	void longPromptsRunOnlyInLongPromptPool() {
		EndpointId longEngine = longEngine();
		for (int i = 0; i < 4; i++) {
			PendingRequest request = this.fixture.request(9_000, MINUTE_MILLIS);
			assertThat(this.fixture.assigned(request, 0)).isEqualTo(longEngine);
		}
	}

	@Test
	void largePromptWaitsForFreeMemory() {
		int number = Integer.parseInt(longEngine().value().substring("engine-".length()));
		this.fixture.report(number, 10, 1, 0, 70_000);
		PendingRequest request = this.fixture.request(50_000, MINUTE_MILLIS);
		assertThat(this.fixture.admitAndAssign(request, 20)).isEmpty();
		assertThat(this.fixture.scheduler.queuedRequests()).isEqualTo(1);
		assertThat(this.fixture.scheduler.nextWakeMonotonicMillis()).isGreaterThan(20).isLessThan(1_000);
		this.fixture.report(number, 100, 0, 0, 0);
		assertThat(this.fixture.scheduler.assign(SchedulingFixture.at(110))).hasSize(1);
		assertThat(this.fixture.scheduler.queuedRequests()).isZero();
	}

	@Test
	void infeasibleRequestIsNotAssigned() {
		int number = Integer.parseInt(longEngine().value().substring("engine-".length()));
		this.fixture.report(number, 10, 1, 0, 70_000);
		PendingRequest request = this.fixture.request(50_000, MINUTE_MILLIS);
		assertThat(this.fixture.admitAndAssign(request, 20)).isEmpty();
		this.fixture.report(number, 59_000, 0, 0, 0);
		assertThat(this.fixture.scheduler.assign(SchedulingFixture.at(59_900))).isEmpty();
	}

	@Test
	void queuedRequestThatBecomesInfeasibleIsRemovedWithRetryAfter() {
		int number = Integer.parseInt(longEngine().value().substring("engine-".length()));
		this.fixture.report(number, 10, 1, 0, 70_000);
		PendingRequest request = this.fixture.request(50_000, MINUTE_MILLIS);
		assertThat(this.fixture.admitAndAssign(request, 20)).isEmpty();
		assertThat(this.fixture.scheduler.removeInfeasible(SchedulingFixture.at(40_000))).isEmpty();
		List<InfeasibleRequest> infeasible = this.fixture.scheduler.removeInfeasible(SchedulingFixture.at(58_500));
		assertThat(infeasible).singleElement().satisfies((value) -> {
			assertThat(value.requestId()).isEqualTo(request.requestId());
			assertThat(value.refusal().reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
			assertThat(value.refusal().retryAfterMillis().getAsLong()).isBetween(1_000L, 60_000L);
		});
		assertThat(this.fixture.scheduler.queuedRequests()).isZero();
		assertThat(this.fixture.scheduler.removeInfeasible(SchedulingFixture.at(58_501))).isEmpty();
	}

	@Test
	void retryWhoseBackoffMakesItInfeasibleIsRemoved() {
		PendingRequest feasible = this.fixture.request(5_000, MINUTE_MILLIS, Set.of(), 30_000, false);
		PendingRequest tooLate = this.fixture.request(5_000, MINUTE_MILLIS, Set.of(), 59_900, false);
		this.fixture.scheduler.requeue(feasible, SchedulingFixture.at(10_000));
		this.fixture.scheduler.requeue(tooLate, SchedulingFixture.at(10_000));
		assertThat(this.fixture.scheduler.removeInfeasible(SchedulingFixture.at(10_000)))
			.extracting(InfeasibleRequest::requestId)
			.containsExactly(tooLate.requestId());
	}

	@Test
	void requestWithUnreachableDeadlineIsRefusedWithRetryAfter() {
		for (int i = 1; i <= 3; i++) {
			this.fixture.report(i, 0, 9, 11_000, 50_000);
		}
		Optional<Refusal> refusal = this.fixture.scheduler.admit(this.fixture.request(2_000, 1_000),
				SchedulingFixture.at(0));
		assertThat(refusal).hasValueSatisfying((value) -> {
			assertThat(value.outcome()).isEqualTo(Outcome.NOT_RUN);
			assertThat(value.reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
			assertThat(value.retryAfterMillis().getAsLong()).isBetween(1_000L, 60_000L);
		});
		assertThat(this.fixture.scheduler.queuedRequests()).isZero();
	}

	@Test
	void slowEngineIsAvoidedOnceItsSpeedIsLearned() {
		PendingRequest slow = this.fixture.request(8_000, MINUTE_MILLIS);
		EndpointId slowEngine = this.fixture.assigned(slow, 0);
		for (int i = 0; i < 200; i++) {
			PendingRequest again = this.fixture.request(8_000, MINUTE_MILLIS, allExcept(slowEngine), 0, false);
			assertThat(this.fixture.assigned(again, 0)).isEqualTo(slowEngine);
			this.fixture.end(again, slowEngine, 0, 8_000, 9_000);
		}
		this.fixture.end(slow, slowEngine, 0, 8_000, 9_000);
		for (int i = 0; i < 6; i++) {
			PendingRequest next = this.fixture.request(2_000, MINUTE_MILLIS);
			EndpointId chosen = this.fixture.assigned(next, 10_000);
			assertThat(chosen).isNotEqualTo(slowEngine);
			this.fixture.end(next, chosen, 0, 300, 800);
		}
	}

	private static Set<EndpointId> allExcept(EndpointId endpoint) {
		Set<EndpointId> excluded = new java.util.HashSet<>();
		for (int i = 1; i <= 3; i++) {
			excluded.add(SchedulingFixture.engine(i));
		}
		excluded.remove(endpoint);
		return excluded;
	}

	@Test
	void promptLargerThanOneEnginesMemoryIsAssignedToGang() {
		PendingRequest request = this.fixture.request(220_000, 10 * MINUTE_MILLIS);
		Assignment assignment = this.fixture.admitAndAssign(request, 0).get(0);
		assertThat(assignment.members()).hasSize(3).startsWith(assignment.endpoint()).doesNotHaveDuplicates();
		assertThat(assignment.memberTokens() * 3).isGreaterThanOrEqualTo(request.spec().totalTokens());
		assertThat(assignment.memberTokens()).isLessThanOrEqualTo(SchedulingFixture.MEMORY_TOKENS);
	}

	@Test
	void briefPromptsHaveHigherPriorityWithinProfileAndGangsHaveProfilePriority() {
		Assignment brief = this.fixture.admitAndAssign(this.fixture.request(1_000, MINUTE_MILLIS), 0).get(0);
		Assignment other = this.fixture.admitAndAssign(this.fixture.request(5_000, MINUTE_MILLIS), 0).get(0);
		assertThat(brief.priority()).isGreaterThan(other.priority());
		Assignment gang = SchedulingFixture.slack(3, 34)
			.admitAndAssign(this.fixture.request(220_000, 10 * MINUTE_MILLIS), 0)
			.get(0);
		assertThat(gang.priority()).isEqualTo(other.priority());
	}

	@Test
	void gangWaitsUntilEveryMemberHasFreeMemory() {
		this.fixture.report(2, 0, 1, 0, 60_000);
		PendingRequest request = this.fixture.request(220_000, 10 * MINUTE_MILLIS);
		assertThat(this.fixture.admitAndAssign(request, 10)).isEmpty();
		this.fixture.report(2, 100, 0, 0, 0);
		assertThat(this.fixture.scheduler.assign(SchedulingFixture.at(110))).hasSize(1);
	}

	@Test
	void promptLargerThanAnyGangIsRefusedWithoutRetryAfter() {
		Optional<Refusal> refusal = this.fixture.scheduler.admit(this.fixture.request(400_000, MINUTE_MILLIS),
				SchedulingFixture.at(0));
		assertThat(refusal).hasValueSatisfying((value) -> {
			assertThat(value.reason()).isEqualTo(RefusalReason.PROMPT_TOO_LONG);
			assertThat(value.retryAfterMillis()).isEmpty();
		});
	}

	@ParameterizedTest
	@EnumSource
	void suspectedRequestsNeverShareAnEndpoint(RoutingPolicy policy) {
		SchedulingFixture fleet = new SchedulingFixture(new RoutingSettings(policy.label(), 0, 0, 0, 0), 2);
		PendingRequest first = fleet.request(2_000, MINUTE_MILLIS, Set.of(), 0, true);
		PendingRequest second = fleet.request(2_000, MINUTE_MILLIS, Set.of(), 0, true);
		PendingRequest third = fleet.request(2_000, MINUTE_MILLIS, Set.of(), 0, true);
		EndpointId firstEngine = fleet.assigned(first, 0);
		assertThat(fleet.assigned(second, 0)).isNotEqualTo(firstEngine);
		fleet.scheduler.requeue(third, SchedulingFixture.at(0));
		assertThat(fleet.scheduler.assign(SchedulingFixture.at(1))).isEmpty();
		fleet.end(first, firstEngine, 0, 300, 800);
		assertThat(fleet.scheduler.assign(SchedulingFixture.at(800))).extracting(Assignment::endpoint)
			.containsExactly(firstEngine);
	}

	@ParameterizedTest
	@EnumSource
	void excludedEndpointsAndNotBeforeTimeAreHonoured(RoutingPolicy policy) {
		SchedulingFixture fleet = new SchedulingFixture(new RoutingSettings(policy.label(), 0, 0, 0, 0), 2);
		PendingRequest request = fleet.request(2_000, MINUTE_MILLIS, Set.of(SchedulingFixture.engine(1)), 500, false);
		fleet.scheduler.requeue(request, SchedulingFixture.at(0));
		assertThat(fleet.scheduler.assign(SchedulingFixture.at(499))).isEmpty();
		assertThat(fleet.scheduler.nextWakeMonotonicMillis()).isBetween(500L, 600L);
		assertThat(fleet.scheduler.assign(SchedulingFixture.at(520))).extracting(Assignment::endpoint)
			.containsExactly(SchedulingFixture.engine(2));
	}

	@Test
	void workspaceAboveItsLimitIsRefusedUntilItsBucketIsRefilled() {
		this.fixture.limitWorkspace(1_000);
		assertThat(this.fixture.scheduler.admit(this.fixture.request(7_000, MINUTE_MILLIS), SchedulingFixture.at(0)))
			.isEmpty();
		Optional<Refusal> refusal = this.fixture.scheduler.admit(this.fixture.request(7_000, MINUTE_MILLIS),
				SchedulingFixture.at(0));
		assertThat(refusal).hasValueSatisfying((value) -> {
			assertThat(value.reason()).isEqualTo(RefusalReason.OVERLOADED);
			assertThat(value.retryAfterMillis()).hasValue(4_100);
		});
		assertThat(
				this.fixture.scheduler.admit(this.fixture.request(7_000, MINUTE_MILLIS), SchedulingFixture.at(4_100)))
			.isEmpty();
	}

}
