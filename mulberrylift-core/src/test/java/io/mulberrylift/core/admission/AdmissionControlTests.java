package io.mulberrylift.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load that exceeds the room of a service, at several instances in virtual time. Bounds
 * are those of the users' pages: a less urgent kind is served better by no more than 5 in
 * 100, nothing is served less than a quarter as often as all, the largest tenth half as
 * often as its kind.
 */
class AdmissionControlTests {

	private static final int SERVERS = 10;

	private static final int INSTANCES = 9;

	private static final ScarceLoad.Kind SHORT = new ScarceLoad.Kind("short", 0, 30, 0.8, 400, 10_000);

	private static final ScarceLoad.Kind MIDDLE = new ScarceLoad.Kind("middle", 1, 30, 0.8, 400, 10_000);

	private static final ScarceLoad.Kind LONG = new ScarceLoad.Kind("long", 2, 800, 0.8, 4000, 15_000);

	private static Predicate<ScarceLoad.Asked> kind(ScarceLoad.Kind kind) {
		return (each) -> each.kind == kind;
	}

	private static Predicate<ScarceLoad.Asked> workspace(String name) {
		return (each) -> each.workspace.equals(name);
	}

	private static Predicate<ScarceLoad.Asked> all() {
		return (each) -> true;
	}

	/** Work that arrives at a load factor, half of it of each kind. */
	private static ScarceLoad mixed(int instances, double load, long seed, boolean withControl) {
		ScarceLoad play = new ScarceLoad(instances, SERVERS, seed, withControl);
		double perKind = load * SERVERS * 1000 / 2;
		play.add(SHORT, "w", perKind / 33.3, 0, 30_000);
		play.add(LONG, "w", perKind / 888, 0, 30_000);
		return play;
	}

	/**
	 * Load: short requests of rank 0 beside long ones of rank 2 at 1.5 times the room.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 9, 75 })
	void urgentRequestsAreServedFirstAndOthersDoNotStarve(int instances) {
		for (long seed = 1; seed <= 3; seed++) {
			ScarceLoad play = mixed(instances, 1.5, seed, true).play(List.of("w"));
			double urgent = play.served(kind(SHORT));
			double others = play.served(kind(LONG));
			assertThat(others).isLessThanOrEqualTo(urgent + 0.05);
			assertThat(play.inTime(kind(LONG))).isLessThanOrEqualTo(play.inTime(kind(SHORT)) + 0.15);
			assertThat(others).isGreaterThanOrEqualTo(play.served(all()) / 4);
			assertThat(play.refusedWhileNotBusy).isZero();
		}
	}

	/** The same load without the control: backlogs make urgent requests late. */
	@Test
	void moreUrgentRequestsAreInTimeThanWithoutTheControl() {
		for (long seed = 1; seed <= 3; seed++) {
			ScarceLoad with = mixed(INSTANCES, 1.5, seed, true).play(List.of("w"));
			ScarceLoad without = mixed(INSTANCES, 1.5, seed, false).play(List.of("w"));
			assertThat(with.inTime(kind(SHORT))).isGreaterThan(without.inTime(kind(SHORT)));
			assertThat(with.served(kind(SHORT))).isGreaterThan(without.served(kind(SHORT)));
		}
	}

	/** Load: one workspace sends 10 times as much as each of 11 others. */
	@ParameterizedTest
	@ValueSource(ints = { 1, 9, 75 })
	void workspacesWithinTheirPartDoNotPayForALargeOne(int instances) {
		List<String> names = IntStream.range(0, 12).mapToObj((index) -> "w" + index).toList();
		for (long seed = 1; seed <= 3; seed++) {
			ScarceLoad play = new ScarceLoad(instances, SERVERS, seed, true);
			double unit = 1.5 * SERVERS * 1000 / 33.3 / 21;
			names.forEach((name) -> play.add(MIDDLE, name, unit * (name.equals("w0") ? 10 : 1), 0, 30_000));
			play.play(names);
			double large = play.served(workspace("w0"));
			double small = play.served((each) -> !each.workspace.equals("w0"));
			assertThat(small).isGreaterThan(large);
			for (String name : names) {
				assertThat(play.served(workspace(name))).isGreaterThanOrEqualTo(play.served(all()) / 4);
			}
		}
	}

	/** Load: everything fits, in one play with half of the room to spare. */
	@ParameterizedTest
	@ValueSource(doubles = { 0.5, 0.8 })
	void nothingIsRefusedWhileEverythingFits(double load) {
		ScarceLoad play = mixed(INSTANCES, load, 4, true).play(List.of("w"));
		assertThat(play.asked).noneMatch((each) -> each.refusals > 0);
	}

	/** Load: a burst of short requests, which the control must not throttle for long. */
	@Test
	void roomIsUsedAgainAfterABurst() {
		ScarceLoad play = mixed(INSTANCES, 0.6, 5, true);
		play.add(SHORT, "w", SERVERS * 1000 / 33.3, 10_000, 14_000);
		play.play(List.of("w"));
		assertThat(play.asked).filteredOn((each) -> each.firstMillis > 20_000).noneMatch((each) -> each.refusals > 0);
	}

	@Test
	void sizesAreServedAlike() {
		for (long seed = 1; seed <= 3; seed++) {
			ScarceLoad play = mixed(INSTANCES, 2, seed, true).play(List.of("w"));
			List<ScarceLoad.Asked> large = play.asked.stream()
				.filter(kind(LONG))
				.sorted(Comparator.comparingDouble((each) -> -each.costMillis))
				.toList();
			int tenth = large.size() / 10;
			double kind = play.served(kind(LONG));
			assertThat(served(large.subList(0, tenth))).isGreaterThanOrEqualTo(kind / 2);
			assertThat(served(large.subList(tenth, 3 * tenth))).isGreaterThanOrEqualTo(kind / 2);
		}
	}

	private static double served(List<ScarceLoad.Asked> asked) {
		return asked.stream().filter((each) -> each.servedMillis > 0).count() / (double) asked.size();
	}

	/** Load: refused ones come back, to any instance. */
	@Test
	void thoseRefusedBeforeAreServedFirstAndReturnInOrderOfRank() {
		ScarceLoad play = mixed(INSTANCES, 1.5, 6, true).play(List.of("w"));
		Predicate<ScarceLoad.Asked> refused = (each) -> each.refusals > 0;
		double returned = play.share((each) -> refused.test(each) && each.attempts > 1,
				(each) -> each.servedMillis > 0);
		double first = play.share(kind(LONG), (each) -> each.refusals == 0);
		assertThat(returned).isGreaterThan(first);
	}

	@Test
	void callersOfUrgentRanksReturnBeforeOthers() {
		AdmissionControl control = overloaded();
		long urgent = retryAfter(control, 0);
		long normal = retryAfter(control, 1);
		long relaxed = retryAfter(control, 2);
		assertThat(urgent).isLessThan(normal);
		assertThat(normal).isLessThan(relaxed);
	}

	@Test
	void callersAreAskedToReturnWithinAThirdOfTheirTime() {
		AdmissionControl control = overloaded();
		ServiceRoom room = new ServiceRoom(10, 1_000_000, 80, 80, true);
		long after = control.refusedElsewhere(request(2, 100, 900), room, 10_000).orElseThrow();
		assertThat(after).isLessThanOrEqualTo(300);
	}

	private static AdmissionRequest request(int rank, double costMillis, long remainingMillis) {
		return new AdmissionRequest("s", "r" + rank, "w", rank, costMillis, costMillis, 5000, 400, remainingMillis, 7);
	}

	private static AdmissionControl overloaded() {
		AdmissionControl control = new AdmissionControl(new SplittableRandom(3));
		control.setWorkspaces(List.of("w"));
		ServiceRoom room = new ServiceRoom(10, 20_000, 80, 80, true);
		for (int count = 0; count < 3000; count++) {
			control.decide(request(count % 3, 40, 20_000), room, 4000 + count * 2);
		}
		return control;
	}

	private static long retryAfter(AdmissionControl control, int rank) {
		ServiceRoom room = new ServiceRoom(10, 20_000, 80, 80, true);
		return control.refusedElsewhere(request(rank, 40, 100_000), room, 10_000).orElseThrow();
	}

	/** Failure: no figures of peers arrive. */
	@ParameterizedTest
	@ValueSource(ints = { 9, 75 })
	void instancesThatHearNoPeersDivideTheirOwnPartOfTheRoom(int instances) {
		ScarceLoad play = mixed(instances, 1.5, 7, true);
		play.figuresArrive = false;
		play.play(List.of("w"));
		assertThat(play.served(kind(LONG))).isLessThanOrEqualTo(play.served(kind(SHORT)) + 0.05);
		assertThat(play.served(kind(LONG))).isGreaterThanOrEqualTo(play.served(all()) / 4);
		assertThat(play.refusedWhileNotBusy).isZero();
	}

	/** Guard of a price: refusals while the endpoints have room. */
	@Test
	void nothingIsRefusedWhileUnderHalfOfTheSlotsAreInUseAndNothingWaits() {
		AdmissionControl control = overloaded();
		ServiceRoom room = new ServiceRoom(10, 20_000, 39, 80, false);
		for (int count = 0; count < 1000; count++) {
			assertThat(control.decide(request(2, 4000, 1000), room, 10_000 + count)).isEqualTo(AdmissionDecision.ADMIT);
		}
	}

}
