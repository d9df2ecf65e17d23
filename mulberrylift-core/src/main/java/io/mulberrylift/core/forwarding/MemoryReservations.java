package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.limit.RequestLimits;
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

	/** Maximum time to wait for the answers of all engines. */
	private static final long ANSWER_TIMEOUT_MILLIS = 700;

	/** Memory reserved in addition to the even share, for rounding up to blocks. */
	private static final long MARGIN_TOKENS = 512;

	private final RequestLimits limits;

	private long holdMillis;

	MemoryReservations(long freeMillis, RequestLimits limits) {
		this.limits = limits;
		setFreeMillis(freeMillis);
	}

	void setFreeMillis(long freeMillis) {
		this.holdMillis = (long) (HOLD_SHARE * freeMillis);
	}

	private long nextRenewalMillis(long nowMillis) {
		return nowMillis + (long) (RENEW_SHARE * this.holdMillis);
	}

	void request(ForwardState state, PromptDemand demand, long nowMillis, List<GatewayEffect> effects) {
		List<ForwardEndpoint> engines = new ArrayList<>();
		engines.add(state.placement.endpoint());
		engines.addAll(state.placement.helpers());
		state.reservedTokensPerEngine = tokensPerEngine(demand, engines.size());
		state.pendingReservations = engines.size();
		state.reservationSentMillis = nowMillis;
		state.reservationRenewalMillis = nextRenewalMillis(nowMillis);
		for (int index = 0; index < engines.size(); index++) {
			state.reservations.put(reservationName(state, index), engines.get(index));
		}
		sendReservations(state, nowMillis, effects);
		effects.add(new GatewayEffect.Log("memory-requested", List.of("request", state.requestId, "engines",
				engines.size(), "tokens-per-engine", state.reservedTokensPerEngine)));
	}

	static long tokensPerEngine(PromptDemand demand, int engines) {
		return demand.memoryTokens() / engines + MARGIN_TOKENS;
	}

	private static String reservationName(ForwardState state, int index) {
		return state.request.attemptId() + "-" + state.sends + "-" + index;
	}

	private void sendReservations(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		state.reservations.forEach((name, engine) -> {
			this.limits.recordRequest(engine.id(), nowMillis);
			effects.add(new GatewayEffect.ReserveMemory(state.requestId, engine, name, state.reservedTokensPerEngine,
					this.holdMillis));
		});
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

	void renew(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		if (!state.reservations.isEmpty() && nowMillis >= state.reservationRenewalMillis) {
			state.reservationRenewalMillis = nextRenewalMillis(nowMillis);
			sendReservations(state, nowMillis, effects);
		}
	}

	List<GatewayEffect.Helper> helpers(ForwardState state) {
		return state.reservations.entrySet()
			.stream()
			.map((entry) -> new GatewayEffect.Helper(entry.getValue(), Optional.of(entry.getKey())))
			.toList();
	}

	void release(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		state.reservations.forEach((name, engine) -> {
			this.limits.recordRequest(engine.id(), nowMillis);
			effects.add(new GatewayEffect.ReleaseMemory(engine, name));
		});
		state.reservations.clear();
		state.pendingReservations = 0;
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
