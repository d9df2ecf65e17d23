package io.mulberrylift.core.witness;

import java.util.List;

import io.mulberrylift.core.configuration.IdempotencySettings;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.time.Moment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GrantAuthority}.
 */
class GrantAuthorityTests {

	private static final long FRESHNESS_MILLIS = 10_000;

	private static final long SKEW_MILLIS = 500;

	private static final ZoneId ZONE = new ZoneId("a");

	private static final InstanceId FIRST = new InstanceId("a1");

	private static final InstanceId SECOND = new InstanceId("a2");

	private final IdempotencySettings settings = new IdempotencySettings(900_000, 0, 0, SKEW_MILLIS, FRESHNESS_MILLIS);

	private final GrantAuthority authority = new GrantAuthority(new InstanceIdentity(SECOND, ZONE, 7));

	@Test
	void longestListedInstanceThatIsNotLeavingHoldsTheSeat() {
		FleetList list = list(1, 0, entry(SECOND, 20, false), entry(FIRST, 10, false));
		assertThat(SeatTable.holder(list, ZONE)).map(InstanceDescription::id).contains(FIRST);
		FleetList leaving = list(2, 0, entry(SECOND, 20, false), entry(FIRST, 10, true));
		assertThat(SeatTable.holder(leaving, ZONE)).map(InstanceDescription::id).contains(SECOND);
	}

	@Test
	void authorityEndsWithTheFreshnessOfTheList() {
		start(1_000);
		read(list(1, 5_000, entry(SECOND, 2_000, false)), 5_000);
		assertThat(this.authority.mayGrant(this.settings, at(14_999))).isTrue();
		assertThat(this.authority.mayGrant(this.settings, at(15_000))).isFalse();
	}

	@Test
	void authorityEndsAlsoWhenTheWallClockStandsStill() {
		start(1_000);
		read(list(1, 5_000, entry(SECOND, 2_000, false)), 5_000);
		assertThat(this.authority.mayGrant(this.settings, new Moment(15_000, 5_000))).isFalse();
	}

	@Test
	void floorIsLaterThanEveryKeyOfThePredecessor() {
		start(1_000);
		read(list(1, 5_000, entry(FIRST, 1_500, false), entry(SECOND, 2_000, false)), 5_000);
		read(list(2, 6_000, entry(SECOND, 2_000, false)), 6_000);
		assertThat(this.authority.floorEpochMillis()).isEqualTo(6_000 + FRESHNESS_MILLIS + SKEW_MILLIS);
	}

	@Test
	void floorOfRestartedProcessIsLaterThanItsStart() {
		start(50_000);
		read(list(1, 50_000, entry(SECOND, 2_000, false)), 50_000);
		assertThat(this.authority.floorEpochMillis()).isEqualTo(50_000 + 2 * FRESHNESS_MILLIS + 4 * SKEW_MILLIS);
	}

	@Test
	void floorRisesWhenTheInstanceWasDroppedAndListedAgain() {
		start(1_000);
		read(list(1, 5_000, entry(SECOND, 2_000, false)), 5_000);
		long before = this.authority.floorEpochMillis();
		read(list(3, 40_000, entry(SECOND, 39_000, false)), 40_000);
		assertThat(this.authority.floorEpochMillis()).isGreaterThan(before)
			.isEqualTo(40_000 + FRESHNESS_MILLIS + SKEW_MILLIS);
	}

	@Test
	void successorGrantsWhileItsListStillNamesThePredecessor() {
		start(1_000);
		read(list(1, 60_000, entry(FIRST, 500, false), entry(SECOND, 2_000, false)), 60_000);
		assertThat(this.authority.mayGrant(this.settings, at(60_100))).isFalse();
		this.authority.acceptHandover(FIRST, 60_050, 300, this.settings);
		assertThat(this.authority.mayGrant(this.settings, at(60_100))).isTrue();
		assertThat(this.authority.floorEpochMillis()).isEqualTo(300);
	}

	@Test
	void successorStopsWhenThePredecessorMayHaveRestarted() {
		start(1_000);
		this.authority.acceptHandover(FIRST, 60_000, 300, this.settings);
		FleetList list = list(9, 69_000, entry(FIRST, 500, false), entry(SECOND, 2_000, false));
		this.authority.listRead(list, this.settings, at(69_000));
		this.authority.acceptHandover(FIRST, 60_000, 300, this.settings);
		assertThat(this.authority.mayGrant(this.settings, at(69_999))).isTrue();
		assertThat(this.authority.mayGrant(this.settings, at(70_000))).isFalse();
	}

	@Test
	void handoverIsIgnoredWhenTheListConfirmsItTooLate() {
		start(1_000);
		read(list(1, 60_000, entry(FIRST, 500, false), entry(SECOND, 2_000, false)), 60_000);
		this.authority.acceptHandover(FIRST, 60_000, 300, this.settings);
		read(list(2, 70_001, entry(SECOND, 2_000, false)), 70_001);
		assertThat(this.authority.floorEpochMillis()).isEqualTo(70_001 + FRESHNESS_MILLIS + SKEW_MILLIS);
	}

	@Test
	void handoverIsAppliedWhenTheListConfirmsItInTime() {
		start(1_000);
		read(list(1, 60_000, entry(FIRST, 500, false), entry(SECOND, 2_000, false)), 60_000);
		this.authority.acceptHandover(FIRST, 60_000, 300, this.settings);
		read(list(2, 70_000, entry(SECOND, 2_000, false)), 70_000);
		assertThat(this.authority.floorEpochMillis()).isEqualTo(300);
	}

	@Test
	void resignedProcessNeverGrantsAgain() {
		start(1_000);
		this.authority.resign();
		read(list(1, 5_000, entry(SECOND, 2_000, false)), 5_000);
		assertThat(this.authority.mayGrant(this.settings, at(5_001))).isFalse();
	}

	@Test
	void pausedProcessGrantsOnlyAfterTheListWasReadAgain() {
		start(1_000);
		FleetList list = list(1, 5_000, entry(SECOND, 2_000, false));
		read(list, 5_000);
		this.authority.paused();
		assertThat(this.authority.mayGrant(this.settings, at(8_000))).isFalse();
		read(list, 8_000);
		assertThat(this.authority.mayGrant(this.settings, at(8_000))).isTrue();
	}

	@Test
	void changedBoundsRaiseTheFloor() {
		start(1_000);
		read(list(1, 5_000, entry(SECOND, 2_000, false)), 5_000);
		this.authority.reset(this.settings, at(30_000));
		assertThat(this.authority.floorEpochMillis()).isEqualTo(30_000 + FRESHNESS_MILLIS + 2 * SKEW_MILLIS);
	}

	@Test
	void floorIsHandedOverOnlyWithAFreshList() {
		start(1_000);
		read(list(1, 5_000, entry(SECOND, 2_000, false)), 5_000);
		long floor = this.authority.floorEpochMillis();
		long last = 5_000 + FRESHNESS_MILLIS - 2 * SKEW_MILLIS;
		assertThat(this.authority.handoverFloorEpochMillis(this.settings, at(last - 1))).isEqualTo(floor);
		assertThat(this.authority.handoverFloorEpochMillis(this.settings, at(last))).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void floorIsHandedOverAfterTheListMarksTheInstanceAsLeaving() {
		start(1_000);
		read(list(1, 5_000, entry(SECOND, 2_000, false)), 5_000);
		long floor = this.authority.floorEpochMillis();
		read(list(2, 6_000, entry(SECOND, 2_000, true)), 6_000);
		assertThat(this.authority.hasSeat()).isTrue();
		assertThat(this.authority.mayGrant(this.settings, at(6_000))).isFalse();
		assertThat(this.authority.handoverFloorEpochMillis(this.settings, at(6_000))).isEqualTo(floor);
	}

	@Test
	void successorIsListedAfterTheHolder() {
		InstanceId third = new InstanceId("a3");
		FleetList list = list(1, 0, entry(FIRST, 10, false), entry(SECOND, 20, false), entry(third, 30, false));
		assertThat(SeatTable.successor(list, ZONE, SECOND)).map(InstanceDescription::id).contains(third);
		assertThat(SeatTable.successor(list, ZONE, third)).isEmpty();
	}

	@Test
	void electorateDiffersWithTheSeats() {
		ZoneId other = new ZoneId("b");
		assertThat(SeatTable.electorate(List.of(ZONE, other))).isEqualTo(SeatTable.electorate(List.of(other, ZONE)))
			.isNotEqualTo(SeatTable.electorate(List.of(ZONE)));
	}

	private void start(long epochMillis) {
		this.authority.recordStart(at(epochMillis));
	}

	private void read(FleetList list, long epochMillis) {
		this.authority.listRead(list, this.settings, at(epochMillis));
	}

	private static Moment at(long epochMillis) {
		return new Moment(epochMillis, epochMillis);
	}

	private static FleetList list(long version, long publishedAt, InstanceDescription... instances) {
		return new FleetList(version, publishedAt, List.of(instances), List.of());
	}

	private static InstanceDescription entry(InstanceId id, long listedSince, boolean leaving) {
		return new InstanceDescription(id, ZONE, "127.0.0.1:1", leaving, listedSince);
	}

}
