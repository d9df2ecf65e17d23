package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.limit.EndpointBackOffs;
import io.mulberrylift.core.limit.RequestLimits;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.PromptDemand;

/**
 * Reserves and releases engine memory for prompts that are larger than an engine's
 * memory.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A reservation is valid for a short time and
 * renewed while its request is in progress, so that the memory becomes free without a
 * release if this process terminates or a reservation request is executed late.
 * </p>
 */
final class MemoryReservations {

	/**
	 * Validity of a reservation as a share of the time within which memory must become
	 * free; the rest covers reservation requests that are executed late.
	 */
	private static final double HOLD_SHARE = 0.825;

	/**
	 * Share of a reservation's validity after which it is renewed; leaves time to repeat
	 * a lost renewal.
	 */
	private static final double RENEW_SHARE = 0.4;

	/** Time before its expiry by which a reservation is renewed at the latest. */
	private static final long EXPIRY_MARGIN_MILLIS = 250;

	/** Maximum time to wait for the answers of all engines. */
	private static final long ANSWER_TIMEOUT_MILLIS = 700;

	/** Memory reserved in addition to the even share, for rounding up to blocks. */
	private static final long MARGIN_TOKENS = 512;

	private final RequestLimits limits;

	private final EndpointBackOffs backOffs;

	private long holdMillis;

	MemoryReservations(long freeMillis, RequestLimits limits, EndpointBackOffs backOffs) {
		this.limits = limits;
		this.backOffs = backOffs;
		setFreeMillis(freeMillis);
	}

	void setFreeMillis(long freeMillis) {
		this.holdMillis = (long) (HOLD_SHARE * freeMillis);
	}

	void request(ForwardState state, PromptDemand demand, long nowMillis, List<GatewayEffect> effects) {
		List<ForwardEndpoint> engines = new ArrayList<>();
		engines.add(state.placement.endpoint());
		engines.addAll(state.placement.helpers());
		state.reservedTokensPerEngine = tokensPerEngine(demand, engines.size());
		state.pendingReservations = engines.size();
		state.reservationSentMillis = nowMillis;
		for (int index = 0; index < engines.size(); index++) {
			String name = reservationName(state, index);
			state.reservations.put(name, engines.get(index));
			reserve(state, name, nowMillis, effects);
		}
		effects.add(new GatewayEffect.Log("memory-requested", List.of("request", state.requestId, "engines",
				engines.size(), "tokens-per-engine", state.reservedTokensPerEngine)));
	}

	static long tokensPerEngine(PromptDemand demand, int engines) {
		return demand.memoryTokens() / engines + MARGIN_TOKENS;
	}

	private static String reservationName(ForwardState state, int index) {
		return state.request.attemptId() + "-" + state.sends + "-" + index;
	}

	private void reserve(ForwardState state, String name, long nowMillis, List<GatewayEffect> effects) {
		ForwardEndpoint engine = state.reservations.get(name);
		state.reservedMillis.put(name, nowMillis);
		this.limits.recordRequest(engine.id(), nowMillis);
		effects.add(new GatewayEffect.ReserveMemory(state.requestId, engine, name, state.reservedTokensPerEngine,
				this.holdMillis));
	}

	Progress recordAnswer(ForwardState state, Optional<Boolean> granted) {
		if (!granted.orElse(false)) {
			state.pendingReservations = 0;
			return Progress.REFUSED;
		}
		state.pendingReservations--;
		return (state.pendingReservations == 0) ? Progress.GRANTED : Progress.PENDING;
	}

	boolean isOverdue(ForwardState state, long nowMillis) {
		return state.pendingReservations > 0 && nowMillis - state.reservationSentMillis > ANSWER_TIMEOUT_MILLIS;
	}

	/**
	 * Renews the reservations that are due. During a back-off of an engine, a reservation
	 * is renewed only shortly before it expires.
	 * @param state the request
	 * @param nowMillis the current time
	 * @param effects receives the renewals
	 */
	void renew(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		for (String name : List.copyOf(state.reservations.keySet())) {
			boolean accepted = this.backOffs.mayUse(state.reservations.get(name).id(), nowMillis);
			long renewedAfterMillis = (accepted) ? (long) (RENEW_SHARE * this.holdMillis)
					: this.holdMillis - EXPIRY_MARGIN_MILLIS;
			if (nowMillis - state.reservedMillis.get(name) >= renewedAfterMillis) {
				reserve(state, name, nowMillis, effects);
			}
		}
	}

	/**
	 * Renews the reservations at an engine at the start of its back-off, when calls may
	 * still be under way to it, so that they last as long as possible.
	 * @param state the request
	 * @param engine the engine
	 * @param nowMillis the current time
	 * @param effects receives the renewals
	 */
	void renewBeforeBackOff(ForwardState state, EndpointId engine, long nowMillis, List<GatewayEffect> effects) {
		for (String name : List.copyOf(state.reservations.keySet())) {
			if (state.reservations.get(name).id().equals(engine)
					&& nowMillis - state.reservedMillis.get(name) >= EXPIRY_MARGIN_MILLIS) {
				reserve(state, name, nowMillis, effects);
			}
		}
	}

	List<GatewayEffect.Helper> helpers(ForwardState state) {
		return state.reservations.entrySet()
			.stream()
			.map((entry) -> new GatewayEffect.Helper(entry.getValue(), Optional.of(entry.getKey())))
			.toList();
	}

	/**
	 * Releases the reservations of a request. At an engine that backs off they are left
	 * to expire.
	 * @param state the request
	 * @param nowMillis the current time
	 * @param effects receives the releases
	 */
	void release(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		state.reservations.forEach((name, engine) -> {
			if (this.backOffs.mayUse(engine.id(), nowMillis)) {
				this.limits.recordRequest(engine.id(), nowMillis);
				effects.add(new GatewayEffect.ReleaseMemory(engine, name));
			}
			else {
				effects.add(new GatewayEffect.Log("memory-left-to-expire",
						List.of("request", state.requestId, "endpoint", engine.id(), "name", name, "age-millis",
								nowMillis - state.reservedMillis.get(name), "valid-millis", this.holdMillis)));
			}
		});
		state.reservations.clear();
		state.reservedMillis.clear();
		state.pendingReservations = 0;
	}

	/**
	 * Forgets the reservations at an engine whose process has started again, so that they
	 * are not renewed there.
	 * @param state the request
	 * @param engine the engine
	 * @return whether there were any
	 */
	boolean forget(ForwardState state, EndpointId engine) {
		boolean had = state.reservations.values().removeIf((each) -> each.id().equals(engine));
		state.reservedMillis.keySet().retainAll(state.reservations.keySet());
		return had;
	}

	enum Progress {

		/** Some engines have not answered yet. */
		PENDING,

		/** All engines have reserved the memory. */
		GRANTED,

		/** An engine refused the reservation or did not answer in time. */
		REFUSED

	}

}
