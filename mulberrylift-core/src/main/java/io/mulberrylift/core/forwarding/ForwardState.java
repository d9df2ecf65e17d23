package io.mulberrylift.core.forwarding;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.Placement;

/**
 * A request in progress.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer.
 * </p>
 */
final class ForwardState {

	final long requestId;

	final ForwardRequest request;

	final Route route;

	final String service;

	final Optional<String> workspace;

	final long arrivalMillis;

	/**
	 * When the final answer is due: the earlier of the caller's and the route's bound.
	 */
	final long deadlineMillis;

	final Set<EndpointId> triedEndpoints = new HashSet<>();

	/** Memory set aside: engine by name of the memory. */
	final Map<String, ForwardEndpoint> reservations = new LinkedHashMap<>();

	Placement placement;

	/** Number of the attempt in progress; 0 for none. */
	long attemptId;

	int sends;

	int connectFailures;

	boolean mayHaveRun;

	/** Whether part of the answer has been passed on. */
	boolean answerStarted;

	/** Whether the attempt in progress has brought a piece. */
	boolean attemptStarted;

	long sentMillis;

	long firstChunkMillis;

	long lastChunkMillis;

	long longestGapMillis;

	/** When the attempt counts as silent without a further piece. */
	long stallDeadlineMillis;

	/** Engines whose answer about memory is still due. */
	int pendingReservations;

	long reservedTokensPerEngine;

	long reservationSentMillis;

	long reservationRenewalMillis;

	ForwardState(long requestId, ForwardRequest request, Route route, String service, Optional<String> workspace,
			long nowMillis) {
		this.requestId = requestId;
		this.request = request;
		this.route = route;
		this.service = service;
		this.workspace = workspace;
		this.arrivalMillis = nowMillis;
		this.deadlineMillis = nowMillis + Math.min(request.deadlineMillis(), route.timeoutMillis());
	}

	long timeLeftMillis(long nowMillis) {
		return this.deadlineMillis - nowMillis;
	}

	boolean isPrompt() {
		return this.request.promptTokens() > 0;
	}

}
