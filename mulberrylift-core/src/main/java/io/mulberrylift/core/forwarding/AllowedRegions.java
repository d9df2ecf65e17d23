package io.mulberrylift.core.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Regions that a request and its answer may be in, by its route and its workspace. Where
 * both name regions, both bind. Immutable.
 *
 * @param regions the regions, empty for a request that may be anywhere; an empty set
 * permits none
 */
record AllowedRegions(Optional<Set<String>> regions) {

	/** Permits all regions. */
	static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

	AllowedRegions {
		Objects.requireNonNull(regions, "regions");
		regions = regions.map(Set::copyOf);
	}

	/**
	 * Returns the regions that a request may be in.
	 * @param route its route
	 * @param terms terms of its workspace
	 * @return the regions
	 */
	static AllowedRegions of(Route route, WorkspaceTerms terms) {
		List<String> byRoute = route.allowedRegions();
		List<String> byWorkspace = terms.allowedRegions();
		if (byRoute.isEmpty() && byWorkspace.isEmpty()) {
			return ANY;
		}
		Set<String> both = new HashSet<>((byRoute.isEmpty()) ? byWorkspace : byRoute);
		if (!byWorkspace.isEmpty()) {
			both.retainAll(byWorkspace);
		}
		return new AllowedRegions(Optional.of(both));
	}

	boolean isRestricted() {
		return this.regions.isPresent();
	}

	/**
	 * Returns whether a request may be in an availability zone.
	 * @param zone the zone
	 * @param regionsByZone region of each zone
	 * @return false for a restricted request also if the zone's region is not known
	 */
	boolean allows(String zone, Map<String, String> regionsByZone) {
		if (this.regions.isEmpty()) {
			return true;
		}
		String region = regionsByZone.get(zone);
		return region != null && this.regions.get().contains(region);
	}

}
