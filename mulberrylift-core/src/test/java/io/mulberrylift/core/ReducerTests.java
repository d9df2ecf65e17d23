package io.mulberrylift.core;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.RequestSpec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Reducer}: the life cycle of single requests.
 */
class ReducerTests {

	private final FleetFixture fixture = new FleetFixture(FleetFixture.engine("engine-1", 400_000),
			FleetFixture.engine("engine-2", 400_000));

	@Test
	void completeAnswerEndsTheRequestOnce() {
		AttemptEffect.Dispatch dispatch = dispatch(FleetFixture.brief(1, 1_000));
		finish(dispatch.attemptId());
		finish(dispatch.attemptId());
		assertThat(this.fixture.takeEffects(RequestEffect.class)).containsExactly(new RequestEffect.Complete(1));
	}

	@Test
	void stateIsDescribedBeforeTheFirstConfiguration() {
		Reducer reducer = new Reducer(new InstanceIdentity(FleetFixture.SELF, FleetFixture.ZONE, 1), 1);
		assertThat(reducer.describe()).containsEntry("ready", false).containsKey("scheduling");
	}

	@Test
	void requestEndsAtItsDeadlineWhenTheEngineDoesNotRespond() {
		AttemptEffect.Dispatch dispatch = dispatch(FleetFixture.brief(1, 1_000));
		this.fixture.advanceTime(4_979);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		assertThat(this.fixture.takeEffects(RequestEffect.class)).isEmpty();
		this.fixture.advanceTime(1);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		assertThat(refusal().outcome()).isEqualTo(Outcome.EXPIRED);
		assertThat(this.fixture.takeEffects(AttemptEffect.Cancel.class))
			.containsExactly(new AttemptEffect.Cancel(dispatch.attemptId(), dispatch.endpoint()));
	}

	@Test
	void queuedRequestIsRefusedOnceItCannotMeetItsDeadline() {
		FleetFixture busyFleet = new FleetFixture(FleetFixture.engine("engine-1", 100_000));
		busyFleet.send(new EndpointEvent.LoadReported(busyFleet.now(),
				new LoadReport(new EndpointId("engine-1"), 1, 1, 0, 0, 90_000, false, Set.of("outlook"), "", 0)));
		busyFleet.send(new RequestEvent.Arrived(busyFleet.now(), FleetFixture.brief(1, 20_000)));
		busyFleet.advanceTime(4_000);
		busyFleet.send(new ControlEvent.Tick(busyFleet.now()));
		assertThat(busyFleet.takeEffects(RequestEffect.class)).isEmpty();
		busyFleet.advanceTime(300);
		busyFleet.send(new ControlEvent.Tick(busyFleet.now()));
		assertThat(busyFleet.takeEffects(AttemptEffect.Dispatch.class)).isEmpty();
		assertThat(busyFleet.takeEffects(RequestEffect.Refuse.class)).singleElement().satisfies((end) -> {
			assertThat(end.refusal().outcome()).isEqualTo(Outcome.NOT_RUN);
			assertThat(end.refusal().reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
			assertThat(end.refusal().retryAfterMillis().getAsLong()).isBetween(1_000L, 60_000L);
		});
		assertThat(busyFleet.reducer().nextWakeMonotonicMillis(busyFleet.now()))
			.isGreaterThan(busyFleet.now().monotonicMillis());
	}

	@Test
	void answerAfterTheDeadlineIsDiscarded() {
		AttemptEffect.Dispatch dispatch = dispatch(FleetFixture.brief(1, 1_000));
		this.fixture.advanceTime(5_000);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		this.fixture.takeEffects(RequestEffect.class);
		finish(dispatch.attemptId());
		assertThat(this.fixture.takeEffects(RequestEffect.class)).isEmpty();
	}

	@Test
	void repeatableRequestResumesOnAnotherEngineWithoutGap() {
		AttemptEffect.Dispatch first = dispatch(FleetFixture.brief(1, 1_000));
		fail(first.attemptId(), AttemptFailure.CONNECTION_LOST, 17);
		this.fixture.advanceTime(100);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		AttemptEffect.Dispatch second = this.fixture.takeEffects(AttemptEffect.Dispatch.class).get(0);
		assertThat(second.endpoint()).isNotEqualTo(first.endpoint());
		assertThat(second.resumeOffsetTokens()).isEqualTo(17);
	}

	@Test
	void nonRepeatableRequestIsNotTriedAgainOnceItMayHaveRun() {
		AttemptEffect.Dispatch first = dispatch(FleetFixture.alert(1, Optional.empty()));
		fail(first.attemptId(), AttemptFailure.CONNECTION_LOST, 0);
		this.fixture.advanceTime(2_000);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		assertThat(this.fixture.takeEffects(AttemptEffect.Dispatch.class)).isEmpty();
		assertThat(refusal().outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	@Test
	void nonRepeatableRequestIsTriedAgainWhenNothingWasSent() {
		AttemptEffect.Dispatch first = dispatch(FleetFixture.alert(1, Optional.empty()));
		fail(first.attemptId(), AttemptFailure.NOT_SENT, 0);
		this.fixture.advanceTime(100);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		assertThat(this.fixture.takeEffects(AttemptEffect.Dispatch.class)).hasSize(1);
	}

	@Test
	void notRunIsNotReportedAfterAnAttemptThatMayHaveRun() {
		AttemptEffect.Dispatch first = dispatch(FleetFixture.brief(1, 1_000));
		fail(first.attemptId(), AttemptFailure.CONNECTION_LOST, 0);
		this.fixture.readList(2, FleetFixture.leavingEngine("engine-1"), FleetFixture.leavingEngine("engine-2"));
		this.fixture.advanceTime(5_000);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		assertThat(refusal().outcome()).isEqualTo(Outcome.EXPIRED);
	}

	@Test
	void leavingEngineGetsNoNewWork() {
		this.fixture.readList(2, FleetFixture.leavingEngine("engine-1"), FleetFixture.engine("engine-2", 400_000));
		for (long requestId = 1; requestId <= 10; requestId++) {
			assertThat(dispatch(FleetFixture.brief(requestId, 1_000)).endpoint().value()).isEqualTo("engine-2");
		}
	}

	@Test
	void drainingAnswerStopsNewWorkBeforeTheListChanges() {
		AttemptEffect.Dispatch first = dispatch(FleetFixture.brief(1, 1_000));
		fail(first.attemptId(), AttemptFailure.DRAINING, 0);
		for (long requestId = 2; requestId <= 6; requestId++) {
			assertThat(dispatch(FleetFixture.brief(requestId, 1_000)).endpoint()).isNotEqualTo(first.endpoint());
		}
	}

	@Test
	void shutdownFinishesWhatIsInProgressAndRefusesTheRest() {
		AttemptEffect.Dispatch dispatch = dispatch(FleetFixture.brief(1, 1_000));
		this.fixture.send(new ControlEvent.ShutdownRequested(this.fixture.now()));
		assertThat(this.fixture.takeEffects(ControlEffect.Exit.class)).isEmpty();
		this.fixture.send(new RequestEvent.Arrived(this.fixture.now(), FleetFixture.brief(2, 1_000)));
		assertThat(refusal().reason()).isEqualTo(RefusalReason.SHUTTING_DOWN);
		finish(dispatch.attemptId());
		assertThat(this.fixture.takeEffects(RequestEffect.Complete.class)).hasSize(1);
		assertThat(exits()).hasSize(1);
	}

	@Test
	void callerDisconnectCancelsTheAttempt() {
		AttemptEffect.Dispatch dispatch = dispatch(FleetFixture.brief(1, 1_000));
		this.fixture.send(new RequestEvent.CallerDisconnected(this.fixture.now(), 1));
		assertThat(this.fixture.takeEffects(AttemptEffect.Cancel.class)).extracting(AttemptEffect.Cancel::attemptId)
			.containsExactly(dispatch.attemptId());
	}

	@Test
	void equalEventsGiveEqualEffects() {
		assertThat(transcript()).isEqualTo(transcript());
	}

	private static List<Effect> transcript() {
		FleetFixture fixture = new FleetFixture(FleetFixture.engine("engine-1", 400_000),
				FleetFixture.engine("engine-2", 400_000));
		for (long requestId = 1; requestId <= 50; requestId++) {
			fixture.send(new RequestEvent.Arrived(fixture.now(), FleetFixture.brief(requestId, 1_000)));
			fixture.send(new AttemptEvent.Failed(fixture.now(), requestId, AttemptFailure.TURNED_AWAY, 0,
					OptionalLong.empty(), ""));
			fixture.advanceTime(7);
		}
		return fixture.takeEffects(Effect.class);
	}

	private List<ControlEffect.Exit> exits() {
		this.fixture.advanceTime(5_000);
		this.fixture.send(new ControlEvent.Tick(this.fixture.now()));
		return this.fixture.takeEffects(ControlEffect.Exit.class);
	}

	private AttemptEffect.Dispatch dispatch(RequestSpec spec) {
		this.fixture.send(new RequestEvent.Arrived(this.fixture.now(), spec));
		List<AttemptEffect.Dispatch> dispatches = this.fixture.takeEffects(AttemptEffect.Dispatch.class);
		assertThat(dispatches).hasSize(1);
		return dispatches.get(0);
	}

	private void finish(long attemptId) {
		this.fixture.send(new AttemptEvent.Finished(this.fixture.now(), attemptId, 1_000, 0, 100, Optional.empty()));
	}

	private void fail(long attemptId, AttemptFailure failure, int deliveredTokens) {
		this.fixture.send(new AttemptEvent.Failed(this.fixture.now(), attemptId, failure, deliveredTokens,
				OptionalLong.empty(), ""));
	}

	private Refusal refusal() {
		List<RequestEffect> ends = this.fixture.takeEffects(RequestEffect.class);
		assertThat(ends).hasSize(1);
		return ((RequestEffect.Refuse) ends.get(0)).refusal();
	}

}
