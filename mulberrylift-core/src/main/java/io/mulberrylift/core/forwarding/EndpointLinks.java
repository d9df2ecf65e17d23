package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.mulberrylift.core.model.EndpointId;

/**
 * Whether this instance reaches the endpoints of each service, and any endpoint at all.
 *
 * <p>
 * If attempts at several endpoints fail one after the other and no byte is received from
 * any, the link of this instance is the likely cause and not the endpoints. The first
 * byte ends that. Not thread-safe; owned by the reducer.
 * </p>
 */
final class EndpointLinks {

	/**
	 * Number of different endpoints without an answer from which a link counts as cut.
	 */
	private static final int CUT_ENDPOINTS = 2;

	/** Interval at which requests are sent over a cut link to find out if it works. */
	private static final long PROBE_INTERVAL_MILLIS = 1000;

	/** Maximum time between connections that break for the same reason. */
	private static final long SIMULTANEOUS_MILLIS = 100;

	private final Link overall = new Link();

	private final Map<String, Link> byService = new HashMap<>();

	/** Endpoints to which connections broke at the same time. */
	private final Set<EndpointId> brokenEndpoints = new HashSet<>();

	private long firstBrokenMillis = Long.MIN_VALUE / 2;

	private Link link(String service) {
		return this.byService.computeIfAbsent(service, (name) -> new Link());
	}

	/**
	 * Records that bytes were received from an endpoint.
	 * @param service service of the endpoint
	 * @return whether the link of this instance or to the service counted as cut
	 */
	boolean recordAnswer(String service) {
		boolean wasCut = isCut(service);
		this.overall.recordAnswer();
		link(service).recordAnswer();
		return wasCut;
	}

	/**
	 * Records that an endpoint could not be connected to, or did not answer.
	 * @param service service of the endpoint
	 * @param endpoint the endpoint
	 * @param connected whether a connection was established
	 * @param nowMillis the current time
	 * @return whether the link to the service counts as cut from now on
	 */
	boolean recordSilence(String service, EndpointId endpoint, boolean connected, long nowMillis) {
		boolean wasCut = isCut(service);
		this.overall.recordSilence(endpoint, connected);
		link(service).recordSilence(endpoint, connected);
		boolean cut = isCut(service) && !wasCut;
		if (cut) {
			link(service).nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
		}
		return cut;
	}

	/**
	 * Returns whether this instance does not reach any endpoint.
	 * @return false if it received an answer since, or has sent too little to know
	 */
	boolean isCut() {
		return this.overall.isCut();
	}

	/**
	 * Returns whether this instance does not reach the endpoints of a service.
	 * @param service the service
	 * @return false if it received an answer since, or has sent too little to know
	 */
	boolean isCut(String service) {
		return this.overall.isCut() || link(service).isCut();
	}

	/**
	 * Returns whether no connection to any endpoint can be established, so that it is
	 * useless to try others.
	 * @return false if an answer was received since
	 */
	boolean isUnconnected() {
		return this.overall.unconnectedEndpoints.size() >= CUT_ENDPOINTS;
	}

	/**
	 * Returns whether a request is to be sent over a cut link to find out if it works. At
	 * most one request is in each interval.
	 * @param service the service
	 * @param nowMillis the current time
	 * @return true if a probe is due; it counts as sent
	 */
	boolean takeProbe(String service, long nowMillis) {
		Link link = link(service);
		boolean due = nowMillis >= link.nextProbeMillis;
		if (due) {
			link.nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
		}
		return due;
	}

	/**
	 * Records that a connection broke during an attempt.
	 * @param endpoint the endpoint
	 * @param sentMillis when the attempt was sent
	 * @param nowMillis the current time
	 * @return whether connections to several endpoints, all with attempts in progress,
	 * broke at once, so that the link is the likely cause
	 */
	boolean recordBroken(EndpointId endpoint, long sentMillis, long nowMillis) {
		if (nowMillis - this.firstBrokenMillis > SIMULTANEOUS_MILLIS) {
			this.firstBrokenMillis = nowMillis;
			this.brokenEndpoints.clear();
		}
		if (sentMillis >= this.firstBrokenMillis) {
			return false;
		}
		this.brokenEndpoints.add(endpoint);
		return this.brokenEndpoints.size() > CUT_ENDPOINTS;
	}

	private static final class Link {

		/** Endpoints that failed since the last byte from any endpoint. */
		private final Set<EndpointId> silentEndpoints = new HashSet<>();

		/** Those of them that could not be connected to. */
		private final Set<EndpointId> unconnectedEndpoints = new HashSet<>();

		private long nextProbeMillis;

		void recordAnswer() {
			this.silentEndpoints.clear();
			this.unconnectedEndpoints.clear();
		}

		void recordSilence(EndpointId endpoint, boolean connected) {
			this.silentEndpoints.add(endpoint);
			if (!connected) {
				this.unconnectedEndpoints.add(endpoint);
			}
		}

		boolean isCut() {
			return this.silentEndpoints.size() >= CUT_ENDPOINTS;
		}

	}

}
