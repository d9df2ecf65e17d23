package io.mulberrylift.core.limit;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import io.mulberrylift.core.hash.Rendezvous;

/**
 * The instances that share the rates which hold for the entire fleet, as one instance
 * knows them.
 *
 * <p>
 * Immutable. A rate is divided into few equal shares, and each share belongs to one
 * instance, so that a share is large enough to be used. Shares are divided among zones
 * first and then among the instances of a zone, both by rendezvous hash. Instances thus
 * only need to agree on the zones and on the instances of their own zone, which a
 * partition between zones does not change.
 * </p>
 *
 * @param self address of this instance
 * @param zone availability zone of this instance
 * @param zoneInstances addresses of the instances of that zone
 * @param zones availability zones that have instances
 * @param complete false while this instance is still discovering the others
 */
public record FleetView(String self, String zone, Set<String> zoneInstances, Set<String> zones, boolean complete) {

	/**
	 * Minimum number of instances that a bound is divided by while the fleet is not known
	 * completely.
	 */
	private static final int MIN_INCOMPLETE_INSTANCES = 16;

	/** Minimum rate of a share unless the entire rate is lower. */
	private static final double MIN_SHARE_PER_SECOND = 0.25;

	/** Shares in addition to one for each request per second. */
	private static final int EXTRA_SHARES = 2;

	private static final String PHASE_OF = "phase of ";

	/** Leaves as many bits of a score as a double can hold. */
	private static final int PHASE_SHIFT = 11;

	private static final double PHASE_UNIT = 0x1.0p-53;

	/**
	 * Creates the view.
	 * @throws IllegalArgumentException if this instance or its zone is missing
	 */
	public FleetView {
		Objects.requireNonNull(self, "self");
		Objects.requireNonNull(zone, "zone");
		zoneInstances = Set.copyOf(zoneInstances);
		zones = Set.copyOf(zones);
		if (!zoneInstances.contains(self) || !zones.contains(zone)) {
			throw new IllegalArgumentException(
					"View of " + self + " in " + zone + " must contain the instance and its zone");
		}
	}

	/**
	 * Returns the view of an instance that shares the rates with nobody.
	 * @param self address of the instance
	 * @param zone its availability zone
	 * @return the view
	 */
	public static FleetView alone(String self, String zone) {
		return new FleetView(self, zone, Set.of(self), Set.of(zone), true);
	}

	/**
	 * Returns the number of shares that a rate is divided into. If the holder of each
	 * share uses it up after a pause, at most one request per share comes in addition to
	 * the rate.
	 * @param perSecond the rate
	 * @return at least 1
	 */
	public static int shareCount(double perSecond) {
		return (int) Math.max(1, Math.min(perSecond / MIN_SHARE_PER_SECOND, perSecond + EXTRA_SHARES));
	}

	/**
	 * Returns the number of shares of a rate that this instance holds.
	 * @param subject name of what the rate applies to
	 * @param subjectZone availability zone that gets shares first
	 * @param perSecond rate of the entire fleet
	 * @return 0 if other instances hold all shares or the view is not complete
	 */
	public int heldShares(String subject, String subjectZone, double perSecond) {
		int shares = shareCount(perSecond);
		int zonesWithShares = Math.min(shares, this.zones.size());
		int zoneRank = zoneRank(subject, subjectZone);
		if (zoneRank >= zonesWithShares || !this.complete) {
			return 0;
		}
		int zoneShares = portion(shares, zonesWithShares, zoneRank);
		int holders = Math.min(zoneShares, this.zoneInstances.size());
		int rank = instanceRank(subject);
		return (rank < holders) ? portion(zoneShares, holders, rank) : 0;
	}

	/**
	 * Returns a number that differs evenly among instances, so that they do not act at
	 * the same time.
	 * @param subject name of what they act on
	 * @return at least 0 and less than 1
	 */
	double phase(String subject) {
		// The score by the subject alone is high for all instances that hold a share.
		return (Rendezvous.score(this.self, PHASE_OF + subject) >>> PHASE_SHIFT) * PHASE_UNIT;
	}

	/**
	 * Returns whether this is the one instance of the fleet that a subject is assigned
	 * to.
	 * @param subject name of the subject
	 * @return false if another instance is chosen or the view is not complete
	 */
	public boolean isChosen(String subject) {
		return heldShares(subject, "", 0) > 0;
	}

	/**
	 * Returns the part of a bound that each instance may use if it is divided equally, by
	 * zone and then by instance.
	 * @return a number greater than 0 and at most 1
	 */
	public double equalPart() {
		int instances = this.zones.size() * this.zoneInstances.size();
		return 1.0 / ((this.complete) ? instances : Math.max(instances, MIN_INCOMPLETE_INSTANCES));
	}

	private static int portion(int shares, int holders, int rank) {
		return shares / holders + ((rank < shares % holders) ? 1 : 0);
	}

	private int zoneRank(String subject, String subjectZone) {
		List<String> ranked = this.zones.stream()
			.sorted(Comparator.comparing((String each) -> !each.equals(subjectZone))
				.thenComparing((each) -> Rendezvous.score(each, subject), Comparator.reverseOrder()))
			.toList();
		int rank = ranked.indexOf(this.zone);
		return (rank < 0) ? ranked.size() : rank;
	}

	private int instanceRank(String subject) {
		long ownScore = Rendezvous.score(this.self, subject);
		return (int) this.zoneInstances.stream().filter((each) -> Rendezvous.score(each, subject) > ownScore).count();
	}

}
