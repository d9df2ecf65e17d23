package io.mulberrylift.core.limit;

import java.util.Set;
import java.util.TreeSet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class FleetViewTests {

	private static int heldShares(int zones, int instancesPerZone, String subject, double perSecond) {
		Set<String> names = new TreeSet<>();
		for (int zone = 0; zone < zones; zone++) {
			names.add("zone-" + zone);
		}
		int held = 0;
		for (String zone : names) {
			Set<String> instances = new TreeSet<>();
			for (int index = 0; index < instancesPerZone; index++) {
				instances.add(zone + "-" + index);
			}
			for (String instance : instances) {
				held += new FleetView(instance, zone, instances, names, true).heldShares(subject, "zone-0", perSecond);
			}
		}
		return held;
	}

	@Test
	void eachShareIsHeldByOneInstance() {
		for (double perSecond : new double[] { 0.1, 0.5, 1, 1.2, 3, 40, 1000 }) {
			for (int zones : new int[] { 1, 3, 22 }) {
				for (int instancesPerZone : new int[] { 1, 2, 25 }) {
					for (int subject = 0; subject < 20; subject++) {
						assertThat(heldShares(zones, instancesPerZone, "e" + subject, perSecond))
							.as("%s per second, %d zones of %d", perSecond, zones, instancesPerZone)
							.isEqualTo(FleetView.shareCount(perSecond));
					}
				}
			}
		}
	}

	/**
	 * Failure: with a share for each of 75 instances, one request of each is too many.
	 */
	@Test
	void oneRequestForEachShareStaysWithinHalfOfTheRateOfFourSeconds() {
		for (double perSecond = 0; perSecond < 50; perSecond += 0.1) {
			assertThat((double) FleetView.shareCount(perSecond)).isBetween(1.0, 1 + 0.5 * 4 * perSecond + 4);
		}
	}

	@Test
	void zoneOfTheSubjectHoldsTheFirstShare() {
		FleetView view = new FleetView("a", "zone-7", Set.of("a"), Set.of("zone-1", "zone-7", "zone-9"), true);
		assertThat(view.heldShares("e", "zone-7", 0.1)).isEqualTo(1);
		assertThat(view.heldShares("e", "zone-1", 0.1)).isZero();
	}

	@Test
	void incompleteViewHoldsNoSharesAndASmallPartOfABound() {
		FleetView few = new FleetView("a", "zone-a", Set.of("a", "b"), Set.of("zone-a", "zone-b"), false);
		assertThat(few.heldShares("e", "zone-a", 100)).isZero();
		assertThat(few.equalPart()).isEqualTo(1.0 / 16);
		assertThat(new FleetView("a", "zone-a", few.zoneInstances(), few.zones(), true).equalPart()).isEqualTo(0.25);
		assertThat(FleetView.alone("a", "zone-a").equalPart()).isEqualTo(1);
	}

	@Test
	void viewContainsTheInstanceItself() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> new FleetView("a", "zone-a", Set.of("b"), Set.of("zone-a"), true))
			.withMessageContaining("View of a in zone-a");
	}

}
