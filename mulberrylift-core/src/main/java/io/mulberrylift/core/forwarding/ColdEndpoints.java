package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.gossip.ColdEndpoint;
import io.mulberrylift.core.limit.RequestLimits;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Endpoints that are known to be cold, and the rate that all instances together keep at
 * each of them meanwhile.
 *
 * <p>
 * Not thread-safe; owned by {@link Gateway}. It does nothing unless the terms of the
 * deployment state bounds, and only for services that state what their cold endpoints
 * accept. An endpoint stays cold until the latest end that any source stated; only its
 * own answer to a later request ends that sooner.
 * </p>
 */
final class ColdEndpoints {

	/** Maximum time for which one statement makes an endpoint cold. */
	private static final long MAX_COLD_MILLIS = 120_000;

	/** Maximum number of endpoints that peers are told of at a time. */
	private static final int MAX_PUBLISHED = 6;

	/** Extension from which it is logged and peers learn of it at once. */
	private static final long MIN_NEWS_MILLIS = 250;

	/**
	 * Maximum extension by a peer that is due to the time its message takes.
	 */
	private static final long PEER_TOLERANCE_MILLIS = 100;

	private static final String ANSWER = "answer";

	/** Maximum number of endpoints remembered with those no longer listed. */
	private static final int MAX_REMEMBERED = 4096;

	private final RequestLimits limits;

	private final EndpointTable endpoints;

	private final Map<EndpointId, Cold> colds = new HashMap<>();

	/** What was listed last of each endpoint, also of those that are gone. */
	private final Map<EndpointId, ForwardEndpoint> listed = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<EndpointId, ForwardEndpoint> eldest) {
			return size() > MAX_REMEMBERED;
		}

	};

	private Optional<GatewayTerms.ColdBounds> bounds;

	private Optional<ForwardingConfiguration> configuration = Optional.empty();

	private boolean traffic;

	ColdEndpoints(GatewayTerms terms, EndpointTable endpoints, RequestLimits limits) {
		this.bounds = terms.coldBounds();
		this.endpoints = endpoints;
		this.limits = limits;
	}

	void setTerms(GatewayTerms terms, long nowMillis) {
		this.bounds = terms.coldBounds();
		imply(nowMillis);
	}

	void setConfiguration(ForwardingConfiguration current, long nowMillis) {
		this.configuration = Optional.of(current);
		imply(nowMillis);
	}

	/**
	 * Records that callers send requests. An endpoint that appears from now on has just
	 * started.
	 */
	void trafficSeen() {
		this.traffic = true;
	}

	/**
	 * Applies a list of endpoints: new ones and those that started again are cold for the
	 * time that their service states, others as long as a changed entry states.
	 * @param read all listed endpoints
	 * @param first whether this is the first list, whose entries are taken as they are
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	void endpointsRead(List<ForwardEndpoint> read, boolean first, long nowMillis, List<GatewayEffect> effects) {
		if (this.bounds.isEmpty()) {
			return;
		}
		for (ForwardEndpoint endpoint : read) {
			ForwardEndpoint before = this.listed.put(endpoint.id(), endpoint);
			if (endpoint.equals(before)) {
				continue;
			}
			boolean restarted = before != null && before.startedEpochMillis() > 0
					&& endpoint.startedEpochMillis() > before.startedEpochMillis();
			boolean started = this.traffic && !first && (before == null || restarted);
			long statedMillis = endpoint.warmUpLeftMillis();
			long startMillis = (started) ? coldStart(endpoint).map(ColdStart::durationMillis).orElse(0L) : 0;
			if (Math.max(statedMillis, startMillis) > 0) {
				cold(endpoint, Math.max(statedMillis, startMillis), (started) ? "start" : "entry", nowMillis, effects);
			}
		}
		this.colds.keySet().retainAll(this.endpoints.ids());
	}

	/**
	 * Applies the end of a zone's evacuation: its endpoints are cold until known
	 * otherwise.
	 * @param zone name of the zone
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	void zoneReturned(String zone, long nowMillis, List<GatewayEffect> effects) {
		for (ForwardEndpoint endpoint : this.endpoints.listed()) {
			if (endpoint.zone().equals(zone)) {
				coldStart(endpoint)
					.ifPresent((terms) -> cold(endpoint, terms.durationMillis(), "zone-return", nowMillis, effects));
			}
		}
	}

	/**
	 * Applies what an answer of an endpoint says.
	 * @param id the endpoint
	 * @param leftMillis how long it stays cold, 0 if it is warm
	 * @param sentMillis when the request of the answer was sent, empty if it is not known
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	void reported(EndpointId id, long leftMillis, Optional<Long> sentMillis, long nowMillis,
			List<GatewayEffect> effects) {
		Cold known = this.colds.get(id);
		if (leftMillis > 0) {
			Optional<ForwardEndpoint> endpoint = this.endpoints.find(id);
			boolean extended = endpoint.isPresent() && cold(endpoint.get(), leftMillis, ANSWER, nowMillis, effects);
			if (extended) {
				effects.add(new GatewayEffect.PublishState());
			}
		}
		else if (known != null && sentMillis.filter((sent) -> sent > known.statedMillis).isPresent()) {
			warm(id, ANSWER, nowMillis, effects);
		}
	}

	/**
	 * Applies what a peer says of an endpoint.
	 * @param reported the endpoint
	 * @param sender address of the peer
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	void reportedByPeer(ColdEndpoint reported, String sender, long nowMillis, List<GatewayEffect> effects) {
		this.endpoints.findByHash(reported.endpointHash())
			.flatMap(this.endpoints::find)
			.filter((
					endpoint) -> !isCold(endpoint.id(), nowMillis + reported.remainingMillis() - PEER_TOLERANCE_MILLIS))
			.ifPresent((endpoint) -> cold(endpoint, reported.remainingMillis(), sender, nowMillis, effects));
	}

	private boolean isCold(EndpointId id, long untilMillis) {
		Cold known = this.colds.get(id);
		return known != null && known.endMillis >= untilMillis;
	}

	/**
	 * Extends the time for which an endpoint is cold.
	 * @param endpoint the endpoint
	 * @param millis time from now on
	 * @param source what stated that
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 * @return true if it was extended by a time that peers should know soon
	 */
	private boolean cold(ForwardEndpoint endpoint, long millis, String source, long nowMillis,
			List<GatewayEffect> effects) {
		Cold known = this.colds.get(endpoint.id());
		long endMillis = nowMillis + Math.min(millis, MAX_COLD_MILLIS);
		if (this.bounds.isEmpty() || (known != null && known.endMillis >= endMillis)) {
			return false;
		}
		long extensionMillis = endMillis - ((known != null) ? Math.max(nowMillis, known.endMillis) : nowMillis);
		boolean ownAnswer = source.equals(ANSWER) || (known != null && known.ownAnswer);
		this.colds.put(endpoint.id(), new Cold(endMillis, nowMillis, ownAnswer));
		Optional<Double> perSecond = perSecond(endpoint);
		boolean news = perSecond.isPresent() && extensionMillis >= MIN_NEWS_MILLIS;
		perSecond.ifPresent((rate) -> this.limits.imply(endpoint.id(), endpoint.zone(), rate, nowMillis));
		if (news) {
			log(effects, "endpoint-cold", "endpoint", endpoint.id(), "zone", endpoint.zone(), "millis",
					endMillis - nowMillis, "extended-by", extensionMillis, "source", source, "fleet-per-second",
					perSecond.get());
		}
		return news;
	}

	private void warm(EndpointId id, String source, long nowMillis, List<GatewayEffect> effects) {
		Cold ended = this.colds.remove(id);
		this.limits.endImplied(id);
		log(effects, "endpoint-warm", "endpoint", id, "source", source, "sooner-by-millis",
				ended.endMillis - nowMillis);
	}

	/**
	 * Ends what has lasted long enough.
	 * @param nowMillis the current time
	 */
	void expire(long nowMillis) {
		this.colds.entrySet().removeIf((entry) -> {
			boolean ended = entry.getValue().endMillis <= nowMillis;
			if (ended) {
				this.limits.endImplied(entry.getKey());
			}
			return ended;
		});
	}

	/**
	 * Applies the rates of changed terms.
	 * @param nowMillis the current time
	 */
	private void imply(long nowMillis) {
		for (EndpointId id : this.colds.keySet()) {
			Optional<ForwardEndpoint> endpoint = this.endpoints.find(id);
			Optional<Double> rate = endpoint.flatMap(this::perSecond);
			if (rate.isPresent()) {
				this.limits.imply(id, endpoint.get().zone(), rate.get(), nowMillis);
			}
			else {
				this.limits.endImplied(id);
			}
		}
	}

	private Optional<ColdStart> coldStart(ForwardEndpoint endpoint) {
		return this.configuration.flatMap((current) -> current.service(endpoint.service()))
			.flatMap(ForwardedService::coldStart);
	}

	private Optional<Double> perSecond(ForwardEndpoint endpoint) {
		return this.bounds.flatMap((bound) -> coldStart(endpoint).map((terms) -> perSecond(terms, bound)));
	}

	/**
	 * Returns the rate that all instances keep at a cold endpoint: the one that its
	 * service states, or less if the requests of one second could exceed the bound. The
	 * number of shares, and so of requests in one second, is at most the rate plus 2 and
	 * at most 4 times the rate.
	 * @param terms what cold endpoints of the service accept
	 * @param bound the bound of the deployment
	 * @return requests per second
	 */
	static double perSecond(ColdStart terms, GatewayTerms.ColdBounds bound) {
		double perSecond = terms.requestsPerSecond() * bound.factor() + bound.extraRequests();
		return Math.min(terms.requestsPerSecond(), Math.max(perSecond - 2, perSecond / 4));
	}

	/**
	 * Returns what peers are told: endpoints whose own answers said so. All instances
	 * learn the rest from the platform.
	 * @param nowMillis the current time
	 * @return the endpoints that stay cold for longest
	 */
	List<ColdEndpoint> published(long nowMillis) {
		List<ColdEndpoint> published = new ArrayList<>();
		this.colds.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().ownAnswer && entry.getValue().endMillis > nowMillis)
			.sorted(Comparator.comparingLong((entry) -> -entry.getValue().endMillis))
			.limit(MAX_PUBLISHED)
			.forEach((entry) -> published
				.add(new ColdEndpoint(WorkTable.hash(entry.getKey()), entry.getValue().endMillis - nowMillis)));
		return published;
	}

	/**
	 * Returns the number of cold endpoints whose requests are limited.
	 * @return the number
	 */
	int count() {
		return (int) this.colds.keySet().stream().filter(this.limits::isImplied).count();
	}

	private static void log(List<GatewayEffect> effects, String event, Object... fields) {
		effects.add(new GatewayEffect.Log(event, List.of(fields)));
	}

	/**
	 * A cold endpoint.
	 *
	 * @param endMillis when it is warm
	 * @param statedMillis when that was learned
	 * @param ownAnswer whether the endpoint said so to this instance
	 */
	private record Cold(long endMillis, long statedMillis, boolean ownAnswer) {
	}

}
