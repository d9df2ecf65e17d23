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
 * The link of this instance is the likely cause, and not the endpoints, if several of
 * them in a row do not answer and no byte is received from any, or if several cannot be
 * connected to and no connection to any is established. Established connections may
 * survive while no new ones are possible. Not thread-safe; owned by the reducer.
 * </p>
 */
final class EndpointLinks {

	/**
	 * Number of different endpoints without an answer from which a link counts as cut.
	 */
	private static final int SILENT_ENDPOINTS = 2;

	/**
	 * Time without a byte from any endpoint from which endpoints that fail one after the
	 * other count as silent; several refuse connections within a millisecond.
	 */
	private static final long MIN_SILENCE_MILLIS = 300;

	/**
	 * Number of different endpoints without a connection from which a link counts as cut;
	 * more, since connections are established less often than bytes are received.
	 */
	private static final int UNCONNECTED_ENDPOINTS = 3;

	/** Interval at which a connection over a cut link is tried. */
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
	 * @param nowMillis the current time
	 * @return whether the link to the service counted as cut until now
	 */
	boolean recordAnswer(String service, long nowMillis) {
		boolean wasCut = isCut(service);
		this.overall.recordAnswer(nowMillis);
		link(service).recordAnswer(nowMillis);
		return wasCut && !isCut(service);
	}

	/**
	 * Records that a connection to an endpoint was established.
	 * @param service service of the endpoint
	 * @return whether the link to the service counted as cut until now
	 */
	boolean recordConnected(String service) {
		boolean wasCut = isCut(service);
		this.overall.clear();
		link(service).clear();
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
		this.overall.recordSilence(endpoint, connected, nowMillis);
		link(service).recordSilence(endpoint, connected, nowMillis);
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
	 * Returns whether established connections to the endpoints of a service do not work
	 * either.
	 * @param service the service
	 * @return true if several endpoints in a row did not answer on them
	 */
	boolean areConnectionsSilent(String service) {
		return this.overall.areConnectionsSilent() || link(service).areConnectionsSilent();
	}

	/**
	 * Returns whether it is useless to try other endpoints.
	 * @return true if no endpoint answers and several could not be connected to
	 */
	boolean isUnconnected() {
		return this.overall.silent && this.overall.unconnectedEndpoints.size() >= SILENT_ENDPOINTS;
	}

	/**
	 * Returns whether a connection over a cut link is to be tried. It is at most one in
	 * each interval.
	 * @param service the service
	 * @param nowMillis the current time
	 * @return true if a probe is due; it counts as made
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
		return this.brokenEndpoints.size() > SILENT_ENDPOINTS;
	}

	/**
	 * Forgets an endpoint whose process has started again.
	 * @param endpoint the endpoint
	 */
	void forget(EndpointId endpoint) {
		this.brokenEndpoints.remove(endpoint);
		this.overall.forget(endpoint);
		this.byService.values().forEach((link) -> link.forget(endpoint));
	}

	private static final class Link {

		/** Endpoints that failed since the last byte from any endpoint. */
		private final Set<EndpointId> silentEndpoints = new HashSet<>();

		/** Those of them that had a connection. */
		private final Set<EndpointId> silentConnectedEndpoints = new HashSet<>();

		/** Endpoints without a connection since the last established one. */
		private final Set<EndpointId> unconnectedEndpoints = new HashSet<>();

		private long nextProbeMillis;

		private long lastAnswerMillis = Long.MIN_VALUE / 2;

		private boolean silent;

		void recordAnswer(long nowMillis) {
			this.silentEndpoints.clear();
			this.silentConnectedEndpoints.clear();
			this.lastAnswerMillis = nowMillis;
			this.silent = false;
		}

		void recordSilence(EndpointId endpoint, boolean connected, long nowMillis) {
			this.silentEndpoints.add(endpoint);
			((connected) ? this.silentConnectedEndpoints : this.unconnectedEndpoints).add(endpoint);
			this.silent = this.silentEndpoints.size() >= SILENT_ENDPOINTS
					&& nowMillis - this.lastAnswerMillis >= MIN_SILENCE_MILLIS;
		}

		void forget(EndpointId endpoint) {
			this.silentEndpoints.remove(endpoint);
			this.silentConnectedEndpoints.remove(endpoint);
			this.unconnectedEndpoints.remove(endpoint);
			this.silent = this.silent && this.silentEndpoints.size() >= SILENT_ENDPOINTS;
		}

		void clear() {
			this.silentEndpoints.clear();
			this.silentConnectedEndpoints.clear();
			this.unconnectedEndpoints.clear();
			this.silent = false;
		}

		boolean areConnectionsSilent() {
			return this.silent && this.silentConnectedEndpoints.size() >= SILENT_ENDPOINTS;
		}

		boolean isCut() {
			return this.silent || this.unconnectedEndpoints.size() >= UNCONNECTED_ENDPOINTS;
		}

	}

}
