package io.mulberrylift.core.cost;

import java.util.List;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers of plain services gain from learned costs under loads that requests per
 * slot do not describe, beside today's placement and one that knows all costs (the
 * limit), with the same requests.
 */
class LearnedCostsLoadTests {

	private static final int SEEDS = 3;

	private static final long LENGTH_MILLIS = 30_000;

	private static final BiFunction<Integer, Long, Double> EVEN = (endpoint, millis) -> 1.0;

	private static final List<QueueingFake.Kind> ALIKE = List
		.of(new QueueingFake.Kind("/a/", 60, 30, (random) -> spread(random, 30, 0.2)));

	/** As on the page of the new deployments: one in a hundred takes 5 times as long. */
	private static final List<QueueingFake.Kind> USUAL = List.of(new QueueingFake.Kind("/a/", 150, 31,
			(random) -> spread(random, 30, 0.5) * ((random.nextDouble() < 0.01) ? 5 : 1)));

	private static final List<QueueingFake.Kind> COSTS_1_TO_20 = List.of(
			new QueueingFake.Kind("/light/", 40, 4, (random) -> spread(random, 4, 0.3)),
			new QueueingFake.Kind("/heavy/", 160, 80, (random) -> spread(random, 80, 0.3)));

	private static final List<QueueingFake.Kind> BIMODAL = List
		.of(new QueueingFake.Kind("/a/", 100, 38.5, (random) -> (random.nextDouble() < 0.05) ? 200.0 : 30.0));

	private static double spread(RandomGenerator random, double mean, double spread) {
		double deviation = Math.sqrt(Math.log(1 + spread * spread));
		return mean * Math.exp(deviation * random.nextGaussian() - deviation * deviation / 2);
	}

	private static QueueingFake.Load load(int instances, int endpoints, int slots, double utilization,
			List<QueueingFake.Kind> kinds) {
		return new QueueingFake.Load(instances, endpoints, slots, utilization, kinds, EVEN, LENGTH_MILLIS, 0);
	}

	private static QueueingFake.Load oneInFiveSlow(int instances, double utilization, long peersLostUntilMillis) {
		return new QueueingFake.Load(instances, 5, 6, utilization, USUAL,
				(endpoint, millis) -> (endpoint == 0) ? 4.0 : 1.0, LENGTH_MILLIS, peersLostUntilMillis);
	}

	private static QueueingFake.Result play(QueueingFake.Load load, QueueingFake.Policy policy) {
		return QueueingFake.Result.mean(LongStream.rangeClosed(1, SEEDS)
			.mapToObj((seed) -> new QueueingFake(load, policy, seed).run())
			.toList());
	}

	/** The stated target: at least half of the distance to the limit, in both. */
	private static void assertHalfClosed(QueueingFake.Load load) {
		QueueingFake.Result today = play(load, QueueingFake.Policy.TODAY);
		QueueingFake.Result learned = play(load, QueueingFake.Policy.LEARNED);
		QueueingFake.Result limit = play(load, QueueingFake.Policy.ORACLE);
		String figures = "today " + today + ", learned " + learned + ", limit " + limit;
		assertThat(today.p99Millis() - learned.p99Millis()).as("p99: " + figures)
			.isGreaterThanOrEqualTo(0.5 * (today.p99Millis() - limit.p99Millis()));
		assertThat(learned.onTime() - today.onTime()).as("on time: " + figures)
			.isGreaterThanOrEqualTo(0.5 * (limit.onTime() - today.onTime()));
	}

	private static void assertNothingLost(QueueingFake.Load load) {
		QueueingFake.Result today = play(load, QueueingFake.Policy.TODAY);
		QueueingFake.Result learned = play(load, QueueingFake.Policy.LEARNED);
		String figures = "today " + today + ", learned " + learned;
		assertThat(learned.p99Millis()).as(figures).isLessThanOrEqualTo(1.02 * today.p99Millis());
		assertThat(learned.onTime()).as(figures).isGreaterThanOrEqualTo(today.onTime() - 0.002);
	}

	@Test
	void nothingIsLostWhereAllRequestsAreAlike() {
		assertNothingLost(load(1, 3, 6, 0.8, ALIKE));
		assertNothingLost(load(12, 3, 6, 0.8, ALIKE));
		assertNothingLost(load(12, 3, 6, 0.95, ALIKE));
	}

	@Test
	void nothingIsLostUnderTheUsualLoadOfPlainServices() {
		assertNothingLost(load(1, 3, 6, 0.4, USUAL));
		assertNothingLost(load(24, 3, 6, 0.4, USUAL));
	}

	@Test
	void twoKindsAlikeInSizeWithCosts1To20AtOneInstance() {
		assertHalfClosed(load(1, 8, 2, 0.8, COSTS_1_TO_20));
	}

	@Test
	void twoKindsAlikeInSizeWithCosts1To20AtTwelveInstances() {
		assertHalfClosed(load(12, 8, 2, 0.8, COSTS_1_TO_20));
	}

	@Test
	void oneEndpointInFiveAtAQuarterOfTheSpeedAtOneInstance() {
		assertHalfClosed(oneInFiveSlow(1, 0.6, 0));
	}

	@Test
	void oneEndpointInFiveAtAQuarterOfTheSpeedAtTwentyFourInstances() {
		assertHalfClosed(oneInFiveSlow(24, 0.6, 0));
	}

	@Test
	void bimodalServiceTimesAt80PercentOfCapacityAtOneInstance() {
		assertHalfClosed(load(1, 8, 2, 0.8, BIMODAL));
	}

	@Test
	void bimodalServiceTimesAt80PercentOfCapacityAtTwelveInstances() {
		assertHalfClosed(load(12, 8, 2, 0.8, BIMODAL));
	}

	/** The shape of the plain services of the new deployments, with long ones alone. */
	@Test
	void oneInAHundred5TimesAsLongAt80PercentOfCapacityAtOneInstance() {
		assertHalfClosed(load(1, 3, 6, 0.8, List
			.of(new QueueingFake.Kind("/a/", 60, 31.2, (random) -> (random.nextDouble() < 0.01) ? 150.0 : 30.0))));
	}

	/** Failure: nothing is heard from any peer. */
	@Test
	void slowEndpointIsLearnedWhileNothingIsHeardFromPeers() {
		QueueingFake.Load cut = oneInFiveSlow(4, 0.5, Long.MAX_VALUE);
		QueueingFake.Result today = play(cut, QueueingFake.Policy.TODAY);
		QueueingFake.Result learned = play(cut, QueueingFake.Policy.LEARNED);
		assertThat(learned.onTime()).isGreaterThan(today.onTime());
		assertThat(learned.p99Millis()).isLessThan(today.p99Millis());
	}

	@Test
	void slowEndpointGetsLessAndItsShareAgainWithinSecondsOnceItIsWell() {
		QueueingFake.Load load = new QueueingFake.Load(4, 5, 6, 0.5, USUAL,
				(endpoint, millis) -> (endpoint == 0 && millis < 20_000) ? 4.0 : 1.0, 40_000, 0);
		QueueingFake fake = new QueueingFake(load, QueueingFake.Policy.LEARNED, 1);
		fake.run();
		assertThat(fake.sentTo(0, 10_000, 20_000)).isLessThan(fake.sentTo(1, 10_000, 20_000) / 2);
		assertThat(fake.sentTo(0, 26_000, 36_000)).isGreaterThan(8 * fake.sentTo(1, 26_000, 36_000) / 10);
	}

}
