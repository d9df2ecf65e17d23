package io.mulberrylift.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.mulberrylift.core.FleetFixture;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.OrderSettings;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.time.Moment;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that several coordinators together stay within the load rate of the weight store.
 * The engines execute every load order but keep reporting the model as missing, so that
 * the coordinators order as often as the rate limiter permits.
 */
class ModelLoadRateLimiterTests {

	private static final long MINUTE_MILLIS = 60_000;

	private static final long RUN_MILLIS = 5 * MINUTE_MILLIS;

	private static final long TICK_MILLIS = 100;

	private static final long MAX_CLOCK_OFFSET_MILLIS = 250;

	private static final long START_EPOCH_MILLIS = 1_700_000_000_123L;

	private static final int ENGINES = 40;

	@ParameterizedTest
	@CsvSource({ "1,30", "6,30", "9,30", "9,120", "7,2.5" })
	void fleetStaysWithinTheRateInEveryMinuteEvenAfterRestarts(int instances, double maxLoadsPerMinute) {
		Coordinators coordinators = new Coordinators(instances, maxLoadsPerMinute);
		List<Long> loads = coordinators.run(Set.of(61_000L, 62_500L, 64_000L, 180_000L));
		assertThat(loads).allSatisfy((start) -> assertThat(
				loads.stream().filter((load) -> load >= start && load < start + MINUTE_MILLIS).count())
			.isLessThanOrEqualTo((long) maxLoadsPerMinute));
	}

	@ParameterizedTest
	@CsvSource({ "1,30", "6,30", "9,30", "9,120" })
	void mostOfTheRateIsUsedWithoutRestarts(int instances, double maxLoadsPerMinute) {
		List<Long> loads = new Coordinators(instances, maxLoadsPerMinute).run(Set.of());
		assertThat(loads.size()).isGreaterThan((int) (0.8 * maxLoadsPerMinute * RUN_MILLIS / MINUTE_MILLIS));
	}

	@Test
	void instanceThatIsNotListedLoadsNothing() {
		ModelLoadRateLimiter limiter = new ModelLoadRateLimiter();
		Moment start = new Moment(0, START_EPOCH_MILLIS);
		limiter.recordProcessStart(start);
		FleetList empty = new FleetList(1, 0, List.of(), List.of());
		Moment later = start.plusMillis(RUN_MILLIS);
		limiter.planNextSlot(FleetFixture.SELF, empty, OrderSettings.DEFAULTS, later);
		assertThat(limiter.isSlotDue(later.plusMillis(RUN_MILLIS))).isFalse();
		assertThat(limiter.mayStartLoad(FleetFixture.SELF, empty, OrderSettings.DEFAULTS, later)).isFalse();
	}

	/**
	 * Several instances with the same list and different clocks.
	 */
	private static final class Coordinators {

		private final FleetConfiguration configuration;

		private final FleetList list;

		private final List<Coordinator> coordinators = new ArrayList<>();

		private final List<Long> loads = new ArrayList<>();

		Coordinators(int instances, double maxLoadsPerMinute) {
			this.configuration = FleetFixture.configuration(new OrderSettings(maxLoadsPerMinute, null));
			List<EndpointDescription> engines = IntStream.range(0, ENGINES)
				.mapToObj((i) -> FleetFixture.engine("engine-" + i, 400_000))
				.toList();
			List<InstanceId> ids = IntStream.range(0, instances).mapToObj((i) -> new InstanceId("entry-" + i)).toList();
			this.list = new FleetList(1, 0,
					ids.stream()
						.map((id) -> new InstanceDescription(id, FleetFixture.ZONE, "127.0.0.1:2", false, 0))
						.toList(),
					engines);
			SplittableRandom random = new SplittableRandom(5);
			ids.forEach((id) -> this.coordinators
				.add(new Coordinator(id, random.nextLong(-MAX_CLOCK_OFFSET_MILLIS, MAX_CLOCK_OFFSET_MILLIS + 1))));
			this.coordinators.forEach(this::restart);
		}

		List<Long> run(Set<Long> restartsMillis) {
			for (long millis = 0; millis < RUN_MILLIS; millis += TICK_MILLIS) {
				if (restartsMillis.contains(millis)) {
					this.coordinators.forEach(this::restart);
				}
				for (Coordinator coordinator : this.coordinators) {
					tick(coordinator, millis);
				}
			}
			return this.loads;
		}

		private void restart(Coordinator coordinator) {
			coordinator.fleet = new FleetState(new InstanceIdentity(coordinator.id, FleetFixture.ZONE, 1));
			coordinator.fleet.configure(1, this.configuration);
			coordinator.fleet.update(this.list);
			reportNothingLoaded(coordinator, 0);
			coordinator.part = new OrdersPart(coordinator.fleet);
		}

		private static void reportNothingLoaded(Coordinator coordinator, long millis) {
			coordinator.fleet.endpoints()
				.forEach((engine) -> engine
					.recordReport(new LoadReport(engine.id(), 1, 0, 0, 0, 0, false, Set.of(), "", 0), millis));
		}

		private void tick(Coordinator coordinator, long millis) {
			Moment now = new Moment(millis, START_EPOCH_MILLIS + millis + coordinator.clockOffsetMillis);
			Effects effects = new Effects();
			reportNothingLoaded(coordinator, millis);
			coordinator.part.tick(now, effects);
			for (Effect effect : effects.drain()) {
				if (effect instanceof EndpointEffect.SendOrder sent) {
					assertThat(sent.order().kind()).isEqualTo(EngineOrder.Kind.LOAD_MODEL);
					this.loads.add(millis);
					coordinator.part.answered(
							new EndpointEvent.OrderAnswered(now, sent.endpoint(), sent.order(), true, 1),
							new Effects());
				}
			}
		}

	}

	/**
	 * An instance with its own clock.
	 */
	private static final class Coordinator {

		private final InstanceId id;

		private final long clockOffsetMillis;

		private FleetState fleet;

		private OrdersPart part;

		Coordinator(InstanceId id, long clockOffsetMillis) {
			this.id = id;
			this.clockOffsetMillis = clockOffsetMillis;
		}

	}

}
