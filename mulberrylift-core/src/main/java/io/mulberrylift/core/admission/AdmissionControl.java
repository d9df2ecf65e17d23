package io.mulberrylift.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.gossip.DemandFigure;

/**
 * Decides which requests are admitted when not all of a service can be served in time.
 *
 * <p>
 * Nothing is refused while the service has room: while under half of the slots are in use
 * and nothing waits, while few requests are expected to be late, or while the demand is
 * below the capacity. Otherwise room is divided by rank and then among workspaces by the
 * work that they ask for, by figures that all instances tell each other; an instance that
 * hears few of its peers divides the part of the room that corresponds to those it hears.
 * Not thread-safe; owned by the reducer.
 * </p>
 */
public final class AdmissionControl {

	/** Maximum number of services with a state. */
	private static final int MAX_SERVICES = 1000;

	/** Share from which all requests are admitted. */
	private static final double ALL = 0.999;

	private final RandomGenerator random;

	private final DemandTable demand = new DemandTable();

	private final ReturningRequests returning = new ReturningRequests();

	private final Map<String, ScarceRoom> rooms = new HashMap<>();

	private Set<String> workspaces = Set.of();

	private double instancePart = 1;

	private long refused;

	/**
	 * Creates a control that knows no demand.
	 * @param random source of randomness for the times to return, not null
	 */
	public AdmissionControl(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Sets the workspaces that share the room.
	 * @param names their names
	 */
	public void setWorkspaces(Collection<String> names) {
		Set<String> all = new HashSet<>(names);
		all.add("");
		this.workspaces = Set.copyOf(all);
	}

	/**
	 * Sets the part of the fleet that one instance is.
	 * @param part a number greater than 0 and at most 1
	 */
	public void setInstancePart(double part) {
		this.instancePart = part;
	}

	/**
	 * Applies the figures of a peer.
	 * @param peer address of the peer
	 * @param figures its figures; those of other parts are ignored
	 * @param nowMillis the current time
	 */
	public void apply(String peer, List<DemandFigure> figures, long nowMillis) {
		this.demand.apply(peer, figures, nowMillis);
	}

	/**
	 * Returns the figures to tell peers.
	 * @param nowMillis the current time
	 * @return few figures, the most important ones first
	 */
	public List<DemandFigure> pollPublished(long nowMillis) {
		return this.demand.pollPublished(nowMillis);
	}

	/**
	 * Decides on a request that no endpoint has received yet.
	 * @param request the request
	 * @param room room of its service
	 * @param nowMillis the current time
	 * @return the decision
	 */
	public AdmissionDecision decide(AdmissionRequest request, ServiceRoom room, long nowMillis) {
		int total = DemandTable.subject(request.service());
		this.demand.add(total, request.rank(), true, request.costMillis(), nowMillis);
		this.demand.add(DemandTable.subject(request.service(), request.workspace()), request.rank(), false,
				request.costMillis(), nowMillis);
		boolean returns = this.returning.isReturning(request, nowMillis);
		if (this.rooms.size() >= MAX_SERVICES && !this.rooms.containsKey(request.service())) {
			this.rooms.clear();
		}
		ScarceRoom scarce = this.rooms.computeIfAbsent(request.service(),
				(service) -> new ScarceRoom(service, this.demand, this.random));
		scarce.observe(request, room, returns, nowMillis);
		if (!scarce.isScarce(room)) {
			return AdmissionDecision.ADMIT;
		}
		int reporters = this.demand.reporters(nowMillis);
		double knownPart = Math.min(1, reporters * this.instancePart);
		double share = scarce.share(request, room, knownPart, this.workspaces, nowMillis);
		if (share >= ALL || scarce.take(request, share, returns, nowMillis)) {
			return AdmissionDecision.ADMIT;
		}
		this.refused++;
		long returnMillis = recordRefused(request, scarce, room, knownPart, nowMillis);
		return scarce.refusal(returnMillis, share, reporters, this.demand.oldestFigureMillis(total, nowMillis));
	}

	private long recordRefused(AdmissionRequest request, ScarceRoom scarce, ServiceRoom room, double knownPart,
			long nowMillis) {
		this.returning.recordRefused(request.fingerprint(), nowMillis);
		long millis = scarce.returnMillis(request.rank(), request.remainingMillis(), room, knownPart, nowMillis);
		this.demand.addWaiting(DemandTable.subject(request.service()), request.rank(), request.costMillis(), nowMillis);
		return millis;
	}

	/**
	 * Handles a refusal for another reason, such as one by a full endpoint, while room is
	 * scarce.
	 * @param request the request
	 * @param room room of its service
	 * @param nowMillis the current time
	 * @return the time after which its caller should return, empty if room is not scarce
	 */
	public Optional<Long> refusedElsewhere(AdmissionRequest request, ServiceRoom room, long nowMillis) {
		ScarceRoom scarce = this.rooms.get(request.service());
		if (scarce == null || !scarce.isScarce(room)) {
			return Optional.empty();
		}
		double knownPart = Math.min(1, this.demand.reporters(nowMillis) * this.instancePart);
		return Optional.of(recordRefused(request, scarce, room, knownPart, nowMillis));
	}

	/**
	 * Forgets what is out of date.
	 * @param nowMillis the current time
	 */
	public void expire(long nowMillis) {
		this.demand.expire(nowMillis);
		this.returning.expire(nowMillis);
	}

	/**
	 * Returns the number of requests that were refused so far.
	 * @return the number
	 */
	public long refused() {
		return this.refused;
	}

}
