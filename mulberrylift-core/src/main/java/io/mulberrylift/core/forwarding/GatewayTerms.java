package io.mulberrylift.core.forwarding;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Terms of a deployment that switch parts of the gateway on. Immutable.
 *
 * @param coldBounds bounds of requests to cold endpoints, empty if the deployment states
 * none
 * @param evacuationMillis time within which an evacuated zone must receive no more new
 * work, empty if zones are not evacuated
 * @param regionsByZone region of each availability zone, empty if it is not stated
 * @param learnedCosts whether requests of plain services are placed by what they are
 * expected to cost
 * @param scarceRoomDivided whether room of services is divided by rank and workspace when
 * not all requests can be served in time
 */
public record GatewayTerms(Optional<ColdBounds> coldBounds, Optional<Long> evacuationMillis,
		Map<String, String> regionsByZone, boolean learnedCosts, boolean scarceRoomDivided) {

	/** Terms that switch nothing on. */
	public static final GatewayTerms NONE = new GatewayTerms(Optional.empty(), Optional.empty(), Map.of());

	/**
	 * Creates the terms.
	 */
	public GatewayTerms {
		Objects.requireNonNull(coldBounds, "coldBounds");
		Objects.requireNonNull(evacuationMillis, "evacuationMillis");
		regionsByZone = Map.copyOf(regionsByZone);
	}

	/**
	 * Creates terms by which scarce room is not divided.
	 * @param coldBounds bounds of requests to cold endpoints
	 * @param evacuationMillis time within which an evacuated zone must receive no more
	 * new work
	 * @param regionsByZone region of each availability zone
	 * @param learnedCosts whether requests are placed by what they are expected to cost
	 */
	public GatewayTerms(Optional<ColdBounds> coldBounds, Optional<Long> evacuationMillis,
			Map<String, String> regionsByZone, boolean learnedCosts) {
		this(coldBounds, evacuationMillis, regionsByZone, learnedCosts, false);
	}

	/**
	 * Creates terms by which nothing is placed by what it is expected to cost.
	 * @param coldBounds bounds of requests to cold endpoints
	 * @param evacuationMillis time within which an evacuated zone must receive no more
	 * new work
	 * @param regionsByZone region of each availability zone
	 */
	public GatewayTerms(Optional<ColdBounds> coldBounds, Optional<Long> evacuationMillis,
			Map<String, String> regionsByZone) {
		this(coldBounds, evacuationMillis, regionsByZone, false, false);
	}

	/**
	 * Returns these terms with scarce room divided.
	 * @return the terms
	 */
	public GatewayTerms withScarceRoomDivided() {
		return new GatewayTerms(this.coldBounds, this.evacuationMillis, this.regionsByZone, this.learnedCosts, true);
	}

	/**
	 * Bounds of the requests that a cold endpoint receives in one second from all
	 * instances together: its rate times a factor, plus some requests.
	 *
	 * @param factor factor of the rate, at least 1
	 * @param extraRequests requests in addition
	 */
	public record ColdBounds(double factor, int extraRequests) {

		/**
		 * Creates the bounds.
		 * @throws IllegalArgumentException if the factor is below 1 or the number is
		 * negative
		 */
		public ColdBounds {
			if (!(factor >= 1) || extraRequests < 0) {
				throw new IllegalArgumentException("Cold bounds must have a factor of 1 or more and no negative extra");
			}
		}

	}

}
