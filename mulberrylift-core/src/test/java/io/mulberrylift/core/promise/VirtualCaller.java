package io.mulberrylift.core.promise;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.model.IdempotencyKey;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.WorkspaceId;

/**
 * Simulates callers that resend through any instance until they have an answer or another
 * send would not help.
 */
final class VirtualCaller {

	private static final long ANSWER_GRACE_MILLIS = 500;

	private final VirtualFleet fleet;

	private final SplittableRandom random;

	private final Map<String, Pending> pending = new HashMap<>();

	private final Map<String, Optional<RefusalReason>> finalReasons = new HashMap<>();

	private long nextRequestId = 1;

	VirtualCaller(VirtualFleet fleet, SplittableRandom random) {
		this.fleet = fleet;
		this.random = random;
	}

	void send(String key, long fingerprint, long timeoutMillis, int sends) {
		send(new Work(key, fingerprint, this.fleet.time().nowMillis(), timeoutMillis, sends, false));
	}

	void sendRepeatable(String name, long fingerprint, long timeoutMillis, int sends) {
		send(new Work(name, fingerprint, this.fleet.time().nowMillis(), timeoutMillis, sends, true));
	}

	void send(Work work) {
		List<VirtualInstance> candidates = this.fleet.liveInstances();
		if (work.sends() == 0 || candidates.isEmpty()) {
			return;
		}
		sendTo(candidates.get(this.random.nextInt(candidates.size())), work);
	}

	void sendTo(VirtualInstance instance, Work work) {
		long requestId = this.nextRequestId++;
		String name = instance + "#" + requestId;
		RequestSpec spec = new RequestSpec(requestId, new WorkspaceId("yard"), "ticket", WorkKind.SERVICE, "tickets", 0,
				0, new long[0], work.fingerprint(), key(work), work.repeatable(), work.timeoutMillis());
		this.pending.put(name, new Pending(work));
		instance.submit((moment) -> {
			this.fleet.history().recordSend(name, work.key(), this.fleet.time().nowMillis(), work.timeoutMillis());
			instance.openSends().add(name);
			this.fleet.requests().put(name, spec);
			return new RequestEvent.Arrived(moment, spec);
		});
		this.fleet.time().schedule(work.timeoutMillis() + ANSWER_GRACE_MILLIS, () -> {
			if (this.pending.remove(name) != null) {
				send(work.next());
			}
		});
	}

	private static Optional<IdempotencyKey> key(Work work) {
		return work.repeatable() ? Optional.empty()
				: Optional.of(new IdempotencyKey(work.key(), work.firstSentMillis()));
	}

	void answered(VirtualInstance instance, RequestEffect effect) {
		String name = instance + "#" + effect.requestId();
		boolean refused = effect instanceof RequestEffect.Refuse;
		Refusal refusal = refused ? ((RequestEffect.Refuse) effect).refusal() : null;
		Outcome outcome = refused ? refusal.outcome() : null;
		RefusalReason reason = refused ? refusal.reason() : null;
		instance.openSends().remove(name);
		this.fleet.history().answered(name, this.fleet.time().nowMillis(), outcome, reason);
		Pending sent = this.pending.remove(name);
		if (sent == null) {
			return;
		}
		this.finalReasons.put(sent.work().key(), Optional.ofNullable(reason));
		OptionalLong retryAfter = refused ? refusal.retryAfterMillis() : OptionalLong.empty();
		boolean resend = refused && (retryAfter.isPresent() || sent.work().resendsAfterAnyRefusal());
		if (resend) {
			this.fleet.time().schedule(retryAfter.orElse(1) + this.random.nextLong(50), () -> send(sent.work().next()));
		}
	}

	Map<String, Optional<RefusalReason>> finalReasons() {
		return this.finalReasons;
	}

	/**
	 * A piece of work across all sends of it.
	 */
	record Work(String key, long fingerprint, long firstSentMillis, long timeoutMillis, int sends, boolean repeatable) {

		Work next() {
			return new Work(this.key, this.fingerprint, this.firstSentMillis, this.timeoutMillis, this.sends - 1,
					this.repeatable);
		}

		boolean resendsAfterAnyRefusal() {
			return this.repeatable;
		}

	}

	private record Pending(Work work) {
	}

}
