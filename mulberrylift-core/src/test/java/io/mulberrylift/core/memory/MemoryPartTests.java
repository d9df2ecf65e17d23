package io.mulberrylift.core.memory;

import java.util.ArrayList;
import java.util.List;

import io.mulberrylift.core.FleetFixture;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.scheduling.Assignment;
import io.mulberrylift.core.time.Moment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MemoryPart}.
 */
class MemoryPartTests {

	private static final EndpointId FIRST = new EndpointId("engine-1");

	private static final EndpointId SECOND = new EndpointId("engine-2");

	private static final InstanceId UNLISTED = new InstanceId("entry-9");

	private static final long DEADLINE_MILLIS = 10_000;

	private final FleetState fleet = new FleetState(new InstanceIdentity(FleetFixture.SELF, FleetFixture.ZONE, 7));

	private final MemoryPart memory = new MemoryPart(this.fleet);

	private final Effects effects = new Effects();

	private long nowMillis;

	MemoryPartTests() {
		list();
	}

	@Test
	void holdsAreRequestedOneByOneInTheOrderOfEngineIds() {
		reserve();
		EndpointEffect.AcquireHold first = acquire();
		assertThat(first.endpoint()).isEqualTo(FIRST);
		answer(first, true);
		EndpointEffect.AcquireHold second = acquire();
		assertThat(second.endpoint()).isEqualTo(SECOND);
		answer(second, true);
		ReservationOutcome.Reserved reserved = (ReservationOutcome.Reserved) this.memory.takeOutcomes().get(0);
		assertThat(reserved.holds()).extracting((hold) -> hold.endpoint()).containsExactly(SECOND, FIRST);
	}

	@Test
	void refusalReleasesTheGrantedHolds() {
		reserve();
		EndpointEffect.AcquireHold first = acquire();
		answer(first, true);
		answer(acquire(), false);
		assertThat(this.memory.takeOutcomes()).containsExactly(new ReservationOutcome.Unavailable(1));
		assertThat(releases()).containsExactly(new EndpointEffect.ReleaseHold(FIRST, first.hold()));
	}

	@Test
	void holdOfAnUnansweredRequestIsReleased() {
		reserve();
		EndpointEffect.AcquireHold first = acquire();
		this.memory.handle(new EndpointEvent.HoldUnanswered(now(), FIRST, first.hold().holdId()), this.effects);
		assertThat(releases()).containsExactly(new EndpointEffect.ReleaseHold(FIRST, first.hold()));
	}

	@Test
	void releaseIsRepeatedUntilTheEngineConfirms() {
		reserve();
		EndpointEffect.AcquireHold first = acquire();
		answer(first, true);
		this.memory.free(1, now(), this.effects);
		this.effects.drain();
		this.nowMillis += 200;
		this.memory.tick(now(), this.effects);
		assertThat(releases()).contains(new EndpointEffect.ReleaseHold(FIRST, first.hold()));
		this.memory.handle(new EndpointEvent.HoldReleased(now(), FIRST, first.hold()), this.effects);
		this.nowMillis += 5_000;
		this.memory.tick(now(), this.effects);
		assertThat(releases()).doesNotContain(new EndpointEffect.ReleaseHold(FIRST, first.hold()));
	}

	@Test
	void holdOfAnAbsentInstanceIsReleasedOnlyAfterItStaysAbsent() {
		HoldDescription abandoned = new HoldDescription(3, UNLISTED, 1, 1_000, 60_000);
		listed(abandoned);
		assertThat(releases()).isEmpty();
		this.nowMillis += 6_000;
		listed(abandoned);
		assertThat(releases()).containsExactly(new EndpointEffect.ReleaseHold(FIRST, abandoned));
	}

	@Test
	void holdOfAListedInstanceIsKept() {
		HoldDescription owned = new HoldDescription(3, new InstanceId("entry-2"), 1, 1_000, 60_000);
		listed(owned);
		this.nowMillis += 60_000;
		listed(owned);
		assertThat(releases()).isEmpty();
	}

	@Test
	void holdOfAnEarlierProcessOfThisInstanceIsReleased() {
		HoldDescription old = new HoldDescription(3, FleetFixture.SELF, 6, 1_000, 60_000);
		listed(old);
		this.nowMillis += 6_000;
		listed(old);
		assertThat(releases()).hasSize(1);
	}

	private void reserve() {
		this.memory.reserve(new Assignment(1, SECOND, List.of(SECOND, FIRST), 1_000, 5), DEADLINE_MILLIS, now(),
				this.effects);
	}

	private EndpointEffect.AcquireHold acquire() {
		return of(EndpointEffect.AcquireHold.class).get(0);
	}

	private void answer(EndpointEffect.AcquireHold request, boolean granted) {
		this.memory.handle(new EndpointEvent.HoldAnswered(now(), request.endpoint(), request.hold().holdId(), granted),
				this.effects);
	}

	private void listed(HoldDescription hold) {
		this.memory.handle(new EndpointEvent.HoldsListed(now(), FIRST, List.of(hold)), this.effects);
	}

	private List<EndpointEffect.ReleaseHold> releases() {
		return of(EndpointEffect.ReleaseHold.class);
	}

	private <T extends Effect> List<T> of(Class<T> type) {
		List<T> found = new ArrayList<>();
		for (Effect effect : this.effects.drain()) {
			if (type.isInstance(effect)) {
				found.add(type.cast(effect));
			}
		}
		return found;
	}

	private void list() {
		InstanceDescription self = new InstanceDescription(FleetFixture.SELF, FleetFixture.ZONE, "127.0.0.1:1", false,
				0);
		InstanceDescription other = new InstanceDescription(new InstanceId("entry-2"), FleetFixture.ZONE, "127.0.0.1:2",
				false, 0);
		this.fleet.update(new FleetList(1, 1, List.of(self, other),
				List.of(FleetFixture.engine("engine-1", 400_000), FleetFixture.engine("engine-2", 400_000))));
	}

	private Moment now() {
		return new Moment(this.nowMillis, this.nowMillis);
	}

}
