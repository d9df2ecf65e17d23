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
 * Tests that several commanders together keep the weight store's rate, with engines that
 * obey every load and still report it as missing.
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
		Commanders commanders = new Commanders(instances, maxLoadsPerMinute);
		List<Long> loads = commanders.run(Set.of(61_000L, 62_500L, 64_000L, 180_000L));
		assertThat(loads).allSatisfy((begin) -> assertThat(
				loads.stream().filter((load) -> load >= begin && load < begin + MINUTE_MILLIS).count())
			.isLessThanOrEqualTo((long) maxLoadsPerMinute));
	}

	@ParameterizedTest
	@CsvSource({ "1,30", "6,30", "9,30", "9,120" })
	void mostOfTheRateIsUsedWithoutRestarts(int instances, double maxLoadsPerMinute) {
		List<Long> loads = new Commanders(instances, maxLoadsPerMinute).run(Set.of());
		assertThat(loads.size()).isGreaterThan((int) (0.8 * maxLoadsPerMinute * RUN_MILLIS / MINUTE_MILLIS));
	}

	@Test
	void instanceThatIsNotListedLoadsNothing() {
		ModelLoadRateLimiter pace = new ModelLoadRateLimiter();
		Moment start = new Moment(0, START_EPOCH_MILLIS);
		pace.recordProcessStart(start);
		FleetList empty = new FleetList(1, 0, List.of(), List.of());
		Moment later = start.plusMillis(RUN_MILLIS);
		pace.planNextSlot(FleetFixture.SELF, empty, OrderSettings.DEFAULTS, later);
		assertThat(pace.isSlotDue(later.plusMillis(RUN_MILLIS))).isFalse();
		assertThat(pace.mayStartLoad(FleetFixture.SELF, empty, OrderSettings.DEFAULTS, later)).isFalse();
	}

	/**
	 * Several parts with equal lists and clocks that differ.
	 */
	private static final class Commanders {

		private final FleetConfiguration configuration;

		private final FleetList list;

		private final List<Commander> members = new ArrayList<>();

		private final List<Long> loads = new ArrayList<>();

		Commanders(int instances, double maxLoadsPerMinute) {
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
			ids.forEach((id) -> this.members
				.add(new Commander(id, random.nextLong(-MAX_CLOCK_OFFSET_MILLIS, MAX_CLOCK_OFFSET_MILLIS + 1))));
			this.members.forEach(this::restart);
		}

		List<Long> run(Set<Long> restartsMillis) {
			for (long millis = 0; millis < RUN_MILLIS; millis += TICK_MILLIS) {
				if (restartsMillis.contains(millis)) {
					this.members.forEach(this::restart);
				}
				for (Commander member : this.members) {
					tick(member, millis);
				}
			}
			return this.loads;
		}

		private void restart(Commander member) {
			member.fleet = new FleetState(new InstanceIdentity(member.id, FleetFixture.ZONE, 1));
			member.fleet.configure(1, this.configuration);
			member.fleet.update(this.list);
			reportNothingLoaded(member, 0);
			member.part = new OrdersPart(member.fleet);
		}

		private static void reportNothingLoaded(Commander member, long millis) {
			member.fleet.endpoints()
				.forEach((engine) -> engine
					.recordReport(new LoadReport(engine.id(), 1, 0, 0, 0, 0, false, Set.of(), "", 0), millis));
		}

		private void tick(Commander member, long millis) {
			Moment now = new Moment(millis, START_EPOCH_MILLIS + millis + member.clockOffsetMillis);
			Effects effects = new Effects();
			reportNothingLoaded(member, millis);
			member.part.tick(now, effects);
			for (Effect effect : effects.drain()) {
				if (effect instanceof EndpointEffect.SendOrder sent) {
					assertThat(sent.order().kind()).isEqualTo(EngineOrder.Kind.LOAD_MODEL);
					this.loads.add(millis);
					member.part.answered(new EndpointEvent.OrderAnswered(now, sent.endpoint(), sent.order(), true, 1),
							new Effects());
				}
			}
		}

	}

	/**
	 * One instance with its clock.
	 */
	private static final class Commander {

		private final InstanceId id;

		private final long clockOffsetMillis;

		private FleetState fleet;

		private OrdersPart part;

		Commander(InstanceId id, long clockOffsetMillis) {
			this.id = id;
			this.clockOffsetMillis = clockOffsetMillis;
		}

	}

}
