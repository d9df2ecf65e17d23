package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.mulberrylift.core.cost.CompletionEstimate;
import io.mulberrylift.core.cost.CostSubject;
import io.mulberrylift.core.gossip.RequestAttribute;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EngineDivision;
import io.mulberrylift.core.placement.Placement;

/**
 * Mutable state of a request in progress.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class ForwardState {

	final long requestId;

	final ForwardRequest request;

	/** The whole request and the parts of its prompt. */
	final List<RequestAttribute> attributes;

	final Route route;

	final String service;

	final Optional<String> workspace;

	final long arrivalMillis;

	/**
	 * When the final answer is due: the earliest of the caller's deadline, the route's
	 * timeout and the end of the process.
	 */
	long deadlineMillis;

	final Set<EndpointId> triedEndpoints = new HashSet<>();

	/** Engine memory reservations: engine by reservation name. */
	final Map<String, ForwardEndpoint> reservations = new LinkedHashMap<>();

	/** When each reservation was last requested, by reservation name. */
	final Map<String, Long> reservedMillis = new HashMap<>();

	/** Addresses of the peers that the request was handed to. */
	final Set<String> triedPeers = new HashSet<>();

	/** Regions that the request may be in. */
	AllowedRegions allowedRegions = AllowedRegions.ANY;

	/** Whether its admission while room is scarce has been decided. */
	boolean admissionDecided;

	/** Whether a slot of its endpoint was free as far as was known. */
	boolean sentToFreeSlot;

	/** Time after which its caller should return if it is refused for lack of room. */
	Optional<Long> returnMillis = Optional.empty();

	Placement placement;

	/** What the placement rests on, empty if it does not rest on learned costs. */
	Optional<CompletionEstimate> estimate = Optional.empty();

	/** How the engines were divided when they were chosen; empty for other endpoints. */
	Optional<EngineDivision> division = Optional.empty();

	/** Address of the peer that has the attempt in progress, empty for an endpoint. */
	Optional<String> relayPeer = Optional.empty();

	/** Identifier of the attempt in progress; 0 for none. */
	long attemptId;

	int sends;

	int connectFailures;

	boolean mayHaveRun;

	/** Whether a part of the answer has been passed on to the caller. */
	boolean answerStarted;

	/** Whether a chunk has been received in the attempt in progress. */
	boolean attemptStarted;

	/** Whether the stream isn't read at present, since its caller reads slowly. */
	boolean readingPaused;

	long sentMillis;

	long firstChunkMillis;

	long lastChunkMillis;

	long longestGapMillis;

	/** When the attempt counts as stalled unless another chunk is received. */
	long stallDeadlineMillis;

	/**
	 * The attempt that a begun stream was taken from because of its silence, until the
	 * attempt that resumes it has begun.
	 */
	Optional<SilentAttempt> silentAttempt = Optional.empty();

	/** Number of engines that have not answered a reservation request yet. */
	int pendingReservations;

	long reservedTokensPerEngine;

	long reservationSentMillis;

	ForwardState(long requestId, ForwardRequest request, Route route, String service, Optional<String> workspace,
			long nowMillis) {
		this.requestId = requestId;
		this.request = request;
		this.attributes = request.attributes();
		this.route = route;
		this.service = service;
		this.workspace = workspace;
		this.arrivalMillis = nowMillis;
		this.deadlineMillis = nowMillis + Math.min(request.deadlineMillis(), route.timeoutMillis());
	}

	int maxAttempts() {
		return Math.min(this.route.maxAttempts(),
				this.request.relayTerms().map(RelayTerms::attemptsLeft).orElse(Integer.MAX_VALUE));
	}

	/**
	 * Moves the deadline to the end of the process if that is earlier.
	 * @param endMillis when the process ends
	 */
	void endBy(long endMillis) {
		this.deadlineMillis = Math.min(this.deadlineMillis, endMillis);
	}

	long timeLeftMillis(long nowMillis) {
		return this.deadlineMillis - nowMillis;
	}

	CostSubject costSubject() {
		return CostSubject.of(this.service, this.route.name());
	}

	boolean isPrompt() {
		return this.request.promptTokens() > 0;
	}

}
