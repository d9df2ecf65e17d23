package io.mulberrylift.core.placement;

import java.util.Map;
import java.util.Objects;

import io.mulberrylift.core.model.EndpointId;

/**
 * Division of a service's engines between short answers and long prompts, as a pure
 * function of the demand of both and of a fixed order of the engines.
 *
 * <p>
 * Immutable. Each engine has a position from 0 to 1 in the order of its availability
 * zone. Those below the share of short answers are their side, the others that of long
 * prompts. Instances that know the demand only roughly thus agree on all engines but the
 * few next to the boundary. The division is no filter: using an engine of the other side
 * costs what that side is expected to lose, which falls to 0 as its demand does.
 * </p>
 */
public final class EngineDivision {

	/** Division while there is no demand or only demand of one kind. */
	public static final EngineDivision NONE = new EngineDivision(0, 0, 0, 0, Map.of(), KnownLoad.NONE, true);

	/** Slots of an engine that short answers use comfortably, as a share. */
	private static final double COMFORTABLE_SLOT_SHARE = 0.75;

	/**
	 * Time during which a short answer is exposed to long parts, relative to the time
	 * that a part takes.
	 */
	private static final double EXPOSURE = 3;

	/** Share of the gap target of short answers up to which a part is safe. */
	private static final double GAP_SAFE_SHARE = 0.4;

	/** Share of that target from which a part makes them late. */
	private static final double GAP_LATE_SHARE = 0.9;

	/**
	 * Factor by which known work may be exceeded before the demand that was told counts.
	 */
	private static final double LENDING_MARGIN = 2;

	/** Share of the engines on each side of the boundary that both kinds avoid. */
	private static final double BOUNDARY_SHARE = 0.1;

	/** Short answers that may arrive at an engine without any. */
	private static final double ARRIVALS = 0.5;

	/** Utilization up to which the engines are divided. */
	private static final double SAFE_UTILIZATION = 0.8;

	/** Utilization from which they are not. */
	private static final double FULL_UTILIZATION = 0.95;

	private static final double MILLIS_PER_SECOND = 1000;

	private final double shortEngines;

	private final double longEngines;

	private final double fullIterationMillis;

	private final long shortGapMillis;

	private final KnownLoad known;

	private final boolean longWorkKnown;

	private final Map<EndpointId, Double> positions;

	/**
	 * Creates the division.
	 * @param shortMillisPerSecond demand of short answers, in milliseconds of one engine
	 * per second
	 * @param longMillisPerSecond demand of long prompts
	 * @param fullIterationMillis time of a full iteration of an engine
	 * @param shortGapMillis smallest gap target of short answers; 0 if it is not known
	 * @param positions position of each engine in the fixed order, from 0 to 1
	 * @param known load that is known now, which lends engines at once when a kind ends
	 * @param longWorkKnown whether the long prompts of all zones are known
	 */
	EngineDivision(double shortMillisPerSecond, double longMillisPerSecond, double fullIterationMillis,
			long shortGapMillis, Map<EndpointId, Double> positions, KnownLoad known, boolean longWorkKnown) {
		this.shortEngines = Math.max(0, shortMillisPerSecond) / MILLIS_PER_SECOND;
		this.longEngines = Math.max(0, longMillisPerSecond) / MILLIS_PER_SECOND;
		this.fullIterationMillis = fullIterationMillis;
		this.shortGapMillis = shortGapMillis;
		this.longWorkKnown = longWorkKnown;
		this.known = Objects.requireNonNull(known, "known");
		this.positions = Objects.requireNonNull(positions, "positions");
	}

	/**
	 * Returns whether the long prompts of all zones are known.
	 * @return false if only those of the own zone are
	 */
	public boolean isLongWorkKnown() {
		return this.longWorkKnown;
	}

	/**
	 * Returns the kind of a prompt.
	 * @param gapTargetMillis gap target of its answer; 0 for none
	 * @return the kind
	 */
	public DemandKind kind(long gapTargetMillis) {
		return DemandKind.of(gapTargetMillis, this.fullIterationMillis);
	}

	/**
	 * Returns whether both kinds have demand.
	 * @return false if the engines are not divided, also while they do not suffice
	 */
	public boolean isDivided() {
		return this.shortEngines > 0 && this.longEngines > 0 && slack() > 0;
	}

	/**
	 * Returns how far the engines suffice for both kinds. When they do not, no engine is
	 * kept for either: an idle one serves what comes first.
	 * @return 0 to 1
	 */
	private double slack() {
		if (this.positions.isEmpty()) {
			return 0;
		}
		double utilization = (this.shortEngines + this.longEngines) / this.positions.size();
		return Math.min(1, Math.max(0, (FULL_UTILIZATION - utilization) / (FULL_UTILIZATION - SAFE_UTILIZATION)));
	}

	/**
	 * Returns the probability that a part of a long prompt makes a short answer late that
	 * is generated on the same engine. Parts that alone are within its gap target are not
	 * safe, since the prompts of other short answers are prefilled in the same iteration.
	 * @param gapMillis time of an iteration with the part
	 * @return 0 to 1
	 */
	public double shortGapLateness(double gapMillis) {
		if (this.shortGapMillis == 0) {
			return 1;
		}
		double share = gapMillis / this.shortGapMillis;
		return Math.min(1, Math.max(0, (share - GAP_SAFE_SHARE) / (GAP_LATE_SHARE - GAP_SAFE_SHARE)));
	}

	/**
	 * Returns the share of the engines that belongs to short answers.
	 * @return 0 to 1; the demand of the kind as a share of all
	 */
	public double shortShare() {
		double all = this.shortEngines + this.longEngines;
		return (all > 0) ? this.shortEngines / all : 0;
	}

	/**
	 * Returns which side an engine belongs to.
	 * @param engine the engine
	 * @return the kind of demand
	 */
	public DemandKind side(EndpointId engine) {
		return (this.positions.getOrDefault(engine, 1.0) < shortShare()) ? DemandKind.SHORT_ANSWER
				: DemandKind.LONG_PROMPT;
	}

	/**
	 * Returns how far an engine is on the side of short answers. It falls gradually next
	 * to the boundary, where instances disagree: both kinds use those engines last.
	 * @param engine the engine
	 * @return 0 to 1
	 */
	private double shortWeight(EndpointId engine) {
		if (!isDivided()) {
			return 0;
		}
		double inside = shortShare() + BOUNDARY_SHARE - this.positions.getOrDefault(engine, 1.0);
		return Math.min(1, Math.max(0, inside / (2 * BOUNDARY_SHARE)));
	}

	/**
	 * Returns the number of short answers to be expected at an engine.
	 * @param engine the engine
	 * @param slots its slots
	 * @return the number, 0 for an engine well on the side of long prompts
	 */
	public double expectedShortAnswers(EndpointId engine, int slots) {
		double side = Math.max(1, this.positions.size() * shortShare());
		double told = COMFORTABLE_SLOT_SHARE * slots * Math.min(1, this.shortEngines / side);
		double inProgress = this.known.shortSlotShare() * this.positions.size() / side * slots;
		return slack() * shortWeight(engine) * Math.min(told, LENDING_MARGIN * inProgress + ARRIVALS);
	}

	/**
	 * Returns the probability that a part of a long prompt that is not known yet is
	 * prefilled on an engine while a short answer is being generated there.
	 * @param engine the engine
	 * @return 0 to 1, 0 for an engine well on the side of short answers
	 */
	public double collisionProbability(EndpointId engine) {
		return slack() * (1 - shortWeight(engine)) * (1 - Math.exp(-EXPOSURE * longUtilization()));
	}

	/**
	 * Returns the number of engines that a long prompt may be split across by the share
	 * of its side that is expected to be free.
	 * @return at least 1
	 */
	public int freeLongEngines() {
		double side = this.positions.size() * (1 - shortShare());
		return (int) Math.max(1, Math.round(side - this.longEngines));
	}

	/**
	 * Returns the number of engines of each side.
	 * @param kind the side
	 * @return the number
	 */
	public long engines(DemandKind kind) {
		return this.positions.keySet().stream().filter((each) -> side(each) == kind).count();
	}

	private double longUtilization() {
		double side = this.positions.size() * (1 - shortShare());
		if (side <= 0) {
			return 0;
		}
		double busy = this.known.longBusyShare() * this.positions.size() / side;
		return Math.min(1, Math.min(this.longEngines / side, LENDING_MARGIN * busy));
	}

}
